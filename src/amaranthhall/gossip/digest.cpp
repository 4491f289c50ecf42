#include "amaranthhall/gossip/digest.hpp"

#include "amaranthhall/gossip/packed_version.hpp"
#include "amaranthhall/packing/packing.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace amaranthhall::gossip {

namespace {

    constexpr freshness::Micros microsPerMillisecond = 1000;
    constexpr double coresScale = 1000; // cores are transmitted as integer thousandths

    using PackedAddress = std::tuple<std::string, std::uint16_t>;
    using PackedProfile = std::tuple<PackedAddress, std::string, std::int64_t, std::uint32_t>;
    using PackedVersions = std::tuple<PackedVersion, PackedVersion, PackedVersion>;
    using PackedVerification = std::tuple<std::int64_t, std::int64_t>; // store time in ms, version of the store
    using PackedVerifications = std::tuple<PackedVerification, PackedVerification, PackedVerification>; // the second and the third as differences to the first, which take fewer bytes
    using PackedLeader = std::tuple<std::string, std::string, group::Term, group::Term, group::Position, freshness::Micros, bool>;
    using PackedSuspicion = std::tuple<std::string, std::string, bool>;
    using PackedOrder = std::tuple<std::string, std::string, PackedVersion, freshness::Micros, bool, group::Term>;
    using PackedAge = std::tuple<std::uint32_t, std::int64_t>;
    using PackedDigest = std::tuple<std::string, PackedProfile, bool, PackedVersions, std::vector<PackedLeader>, std::vector<PackedSuspicion>, std::vector<PackedOrder>, std::vector<PackedAge>, std::vector<PackedAddress>, PackedVerifications, std::uint64_t>;

    PackedAddress pack(const kernel::Address& address) { return { address.host, address.port }; }
    PackedProfile pack(const VmProfile& profile) { return { pack(profile.address), profile.zone, std::lround(profile.cores * coresScale), profile.relayVersion }; }
    PackedVersions packVersions(const TableCopies& copies) { return { packVersion(copies.configuration.newestRow), packVersion(copies.upstreams.newestRow), packVersion(copies.fleet.newestRow) }; }
    PackedVerification pack(const store::CopyState& copy) { return { copy.verifiedAt / microsPerMillisecond, static_cast<std::int64_t>(copy.verifiedVersion) }; }
    PackedLeader pack(const LeaderReport& report) { return { report.service, report.upstream, report.term, report.point.term, report.point.position, report.at, report.hasRecentAnswer }; }
    PackedSuspicion pack(const SuspicionReport& report) { return { report.service, report.upstream, report.isRefusing }; }
    PackedOrder pack(const PromotionReport& report) { return { report.service, report.candidate, packVersion(report.fence), report.at, report.isLeading, report.term }; }
    PackedAge pack(const ActivityAge& entry) { return { entry.shortId, entry.age.count() }; }

    template <typename Item>
    auto packAll(const std::vector<Item>& items)
    {
        std::vector<decltype(pack(items.front()))> all;
        all.reserve(items.size());
        for (const auto& item : items)
            all.push_back(pack(item));
        return all;
    }

    kernel::Address unpack(PackedAddress&& from)
    {
        return { .host = std::move(std::get<0>(from)), .port = std::get<1>(from) };
    }

    VmProfile unpack(PackedProfile&& from)
    {
        auto& [address, zone, cores, relayVersion] = from; // a daemon without relay versions sends three elements, which leaves 0
        return { .address = unpack(std::move(address)), .zone = std::move(zone), .cores = static_cast<double>(cores) / coresScale, .relayVersion = relayVersion };
    }

    /// Adds without overflow, whatever the sender has sent.
    std::int64_t wrappingSum(std::int64_t left, std::int64_t right)
    {
        return static_cast<std::int64_t>(static_cast<std::uint64_t>(left) + static_cast<std::uint64_t>(right));
    }

    PackedVerification difference(const PackedVerification& of, const PackedVerification& to)
    {
        return { std::get<0>(of) - std::get<0>(to), std::get<1>(of) - std::get<1>(to) };
    }

    PackedVerification sum(const PackedVerification& left, const PackedVerification& right)
    {
        return { wrappingSum(std::get<0>(left), std::get<0>(right)), wrappingSum(std::get<1>(left), std::get<1>(right)) };
    }

    PackedVerifications packVerifications(const TableCopies& copies)
    {
        const auto first = pack(copies.configuration);
        return { first, difference(pack(copies.upstreams), first), difference(pack(copies.fleet), first) };
    }

    store::CopyState unpackCopy(const PackedVersion& newestRow, const PackedVerification& verification)
    {
        constexpr auto maximumMilliseconds = std::numeric_limits<freshness::Micros>::max() / microsPerMillisecond;
        const auto& [milliseconds, version] = verification;
        return { .newestRow = unpackVersion(newestRow), .verifiedAt = std::clamp<std::int64_t>(milliseconds, 0, maximumMilliseconds) * microsPerMillisecond, .verifiedVersion = static_cast<std::uint64_t>(std::max<std::int64_t>(version, 0)) };
    }

    /// The verifications are zero if the sender is of a build that does not send them.
    TableCopies unpackCopies(const PackedVersions& versions, const PackedVerifications& verifications)
    {
        const auto& [first, upstreams, fleet] = verifications;
        return {
            .configuration = unpackCopy(std::get<0>(versions), first),
            .upstreams = unpackCopy(std::get<1>(versions), sum(first, upstreams)),
            .fleet = unpackCopy(std::get<2>(versions), sum(first, fleet)),
        };
    }

    LeaderReport unpack(PackedLeader&& from)
    {
        auto& [service, upstream, term, lastTerm, position, at, hasRecentAnswer] = from;
        return { .service = std::move(service), .upstream = std::move(upstream), .term = term, .point = { .term = lastTerm, .position = position }, .at = at, .hasRecentAnswer = hasRecentAnswer };
    }

    SuspicionReport unpack(PackedSuspicion&& from)
    {
        auto& [service, upstream, isRefusing] = from;
        return { .service = std::move(service), .upstream = std::move(upstream), .isRefusing = isRefusing };
    }

    PromotionReport unpack(PackedOrder&& from)
    {
        auto& [service, candidate, fence, at, isLeading, term] = from;
        return { .service = std::move(service), .candidate = std::move(candidate), .fence = unpackVersion(fence), .at = at, .isLeading = isLeading, .term = term };
    }

    ActivityAge unpack(PackedAge&& from)
    {
        const auto& [shortId, age] = from;
        return { .shortId = shortId, .age = std::chrono::milliseconds(age) };
    }

    template <typename Packed>
    auto unpackAll(std::vector<Packed>&& items)
    {
        std::vector<decltype(unpack(std::move(items.front())))> all;
        all.reserve(items.size());
        for (auto& item : items)
            all.push_back(unpack(std::move(item)));
        return all;
    }

}

Digest filterServices(const Digest& digest, std::span<const std::string> services)
{
    auto filtered = digest;
    const auto isOther = [services](const auto& report) { return !std::binary_search(services.begin(), services.end(), report.service); };
    std::erase_if(filtered.leaders, isOther);
    std::erase_if(filtered.suspicions, isOther);
    std::erase_if(filtered.orders, isOther);
    return filtered;
}

std::string encodeDigest(const Digest& digest)
{
    return packing::pack(PackedDigest { digest.vm, pack(digest.profile), digest.requestsPeers, packVersions(digest.copies), packAll(digest.leaders), packAll(digest.suspicions), packAll(digest.orders), packAll(digest.activityAges), packAll(digest.peers), packVerifications(digest.copies), digest.configurationVersion });
}

std::optional<Digest> decodeDigest(std::string_view bytes)
{
    auto unpacked = packing::unpack<PackedDigest>(bytes);
    if (!unpacked)
        return std::nullopt;
    // Datagrams are sent to the addresses of a digest, so a malformed one would fail there.
    const auto isMalformed = [](const PackedAddress& address) { return !kernel::isIpAddress({ .host = std::get<0>(address), .port = std::get<1>(address) }); };
    const auto& packedPeers = std::get<std::vector<PackedAddress>>(*unpacked);
    if (isMalformed(std::get<0>(std::get<PackedProfile>(*unpacked))) || std::any_of(packedPeers.begin(), packedPeers.end(), isMalformed))
        return std::nullopt;
    auto& [vm, profile, requestsPeers, versions, leaders, suspicions, orders, activityAges, peers, verifications, configurationVersion] = *unpacked;
    return Digest {
        .vm = std::move(vm),
        .profile = unpack(std::move(profile)),
        .requestsPeers = requestsPeers,
        .copies = unpackCopies(versions, verifications),
        .configurationVersion = configurationVersion,
        .leaders = unpackAll(std::move(leaders)),
        .suspicions = unpackAll(std::move(suspicions)),
        .orders = unpackAll(std::move(orders)),
        .activityAges = unpackAll(std::move(activityAges)),
        .peers = unpackAll(std::move(peers)),
    };
}

}
