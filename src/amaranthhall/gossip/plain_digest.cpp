#include "amaranthhall/gossip/plain_digest.hpp"

#include "amaranthhall/gossip/packed_parts.hpp"
#include "amaranthhall/packing/packing.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace amaranthhall::gossip {

namespace {

    using PlainVersions = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;
    using PlainProfile = std::tuple<packed::Address, std::string, std::int64_t>;
    using PlainLeader = std::tuple<std::string, std::string, group::Term, group::Position, freshness::Micros, bool>; // the term is that of the last entry
    using PlainOrder = std::tuple<std::string, std::string, std::uint64_t, freshness::Micros, bool>;
    using PlainDigest = std::tuple<std::string, PlainProfile, bool, PlainVersions, std::vector<PlainLeader>, std::vector<packed::Suspicion>, std::vector<PlainOrder>, std::vector<packed::Age>, std::vector<packed::Address>>;

    std::uint64_t plainVersion(const store::Version& version)
    {
        return version.era == 0 ? version.number : 0;
    }

    PlainProfile packProfile(const VmProfile& profile)
    {
        auto [address, zone, cores, relayVersion] = packed::pack(profile);
        return { std::move(address), std::move(zone), cores };
    }

    PlainLeader packLeader(const LeaderReport& report)
    {
        return { report.service, report.upstream, report.point.term, report.point.position, report.at, report.hasRecentAnswer };
    }

    PlainOrder packOrder(const PromotionReport& report)
    {
        return { report.service, report.candidate, plainVersion(report.fence), report.at, report.isLeading };
    }

    /// The sender does not tell in which term the upstream leads; it is at least that of its last entry.
    LeaderReport unpackLeader(PlainLeader&& from)
    {
        auto& [service, upstream, term, position, at, hasRecentAnswer] = from;
        return { .service = std::move(service), .upstream = std::move(upstream), .term = term, .point = { .term = term, .position = position }, .at = at, .hasRecentAnswer = hasRecentAnswer };
    }

    PromotionReport unpackOrder(PlainOrder&& from)
    {
        auto& [service, candidate, fence, at, isLeading] = from;
        return { .service = std::move(service), .candidate = std::move(candidate), .fence = { .number = fence }, .at = at, .isLeading = isLeading };
    }

    TableCopies unpackCopies(const PlainVersions& versions)
    {
        const auto& [configuration, upstreams, fleet] = versions;
        return { .configuration = { .newestRow = { .number = configuration } }, .upstreams = { .newestRow = { .number = upstreams } }, .fleet = { .newestRow = { .number = fleet } } };
    }

}

std::string encodePlainDigest(const Digest& digest)
{
    const auto& copies = digest.copies;
    const auto packPart = [](const auto& part) { return packed::pack(part); };
    return packing::pack(PlainDigest {
        digest.vm,
        packProfile(digest.profile),
        digest.requestsPeers,
        PlainVersions { plainVersion(copies.configuration.newestRow), plainVersion(copies.upstreams.newestRow), plainVersion(copies.fleet.newestRow) },
        packed::packAll(digest.leaders, packLeader),
        packed::packAll(digest.suspicions, packPart),
        packed::packAll(digest.orders, packOrder),
        packed::packAll(digest.activityAges, packPart),
        packed::packAll(digest.peers, packPart),
    });
}

std::optional<Digest> decodePlainDigest(std::string_view bytes)
{
    auto unpacked = packing::unpack<PlainDigest>(bytes);
    if (!unpacked)
        return std::nullopt;
    auto& [vm, profile, requestsPeers, versions, leaders, suspicions, orders, activityAges, peers] = *unpacked;
    auto& [address, zone, cores] = profile;
    if (!packed::isUsable(address) || !std::all_of(peers.begin(), peers.end(), packed::isUsable))
        return std::nullopt;
    const auto unpackPart = []<typename Part>(Part&& part) { return packed::unpack(std::forward<Part>(part)); };
    return Digest {
        .vm = std::move(vm),
        .format = WireFormat::PlainVersions,
        .profile = packed::unpack(packed::Profile { std::move(address), std::move(zone), cores, 0 }),
        .requestsPeers = requestsPeers,
        .copies = unpackCopies(versions),
        .leaders = packed::unpackAll(std::move(leaders), unpackLeader),
        .suspicions = packed::unpackAll(std::move(suspicions), unpackPart),
        .orders = packed::unpackAll(std::move(orders), unpackOrder),
        .activityAges = packed::unpackAll(std::move(activityAges), unpackPart),
        .peers = packed::unpackAll(std::move(peers), unpackPart),
    };
}

}
