#include "amaranthhall/gossip/digest.hpp"

#include "amaranthhall/gossip/packed_parts.hpp"
#include "amaranthhall/gossip/packed_version.hpp"
#include "amaranthhall/gossip/plain_digest.hpp"
#include "amaranthhall/packing/packing.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <tuple>
#include <utility>

namespace amaranthhall::gossip {

namespace {

    constexpr freshness::Micros microsPerMillisecond = 1000;

    using PackedVersions = std::tuple<PackedVersion, PackedVersion, PackedVersion>;
    using PackedVerification = std::tuple<std::int64_t, std::int64_t>; // store time in ms, version of the store
    using PackedVerifications = std::tuple<PackedVerification, PackedVerification, PackedVerification>; // the second and the third as differences to the first, which take fewer bytes
    using PackedLeader = std::tuple<std::string, std::string, group::Term, group::Term, group::Position, freshness::Micros, bool>;
    using PackedOrder = std::tuple<std::string, std::string, PackedVersion, freshness::Micros, bool, group::Term>;
    using PackedPendingOrder = std::tuple<std::string, PackedVersion>;
    using PackedPendingOrders = std::tuple<std::string, PackedVersion, std::vector<PackedPendingOrder>>;
    using PackedDigest = std::tuple<std::string, packed::Profile, bool, PackedVersions, std::vector<PackedLeader>, std::vector<packed::Suspicion>, std::vector<PackedOrder>, std::vector<packed::Age>, std::vector<packed::Address>, PackedVerifications, std::uint64_t, std::vector<PackedPendingOrders>, freshness::Micros>;

    PackedVersions packVersions(const TableCopies& copies) { return { packVersion(copies.configuration.newestRow), packVersion(copies.upstreams.newestRow), packVersion(copies.fleet.newestRow) }; }
    PackedVerification packVerification(const store::CopyState& copy) { return { copy.verifiedAt / microsPerMillisecond, static_cast<std::int64_t>(copy.verifiedVersion) }; }
    PackedLeader packLeader(const LeaderReport& report) { return { report.service, report.upstream, report.term, report.point.term, report.point.position, report.at, report.hasRecentAnswer }; }
    PackedOrder packOrder(const PromotionReport& report) { return { report.service, report.candidate, packVersion(report.fence), report.at, report.isLeading, report.term }; }

    PackedPendingOrder packPendingOrder(const PendingOrderReport& order) { return { order.candidate, packVersion(order.fence) }; }
    PackedPendingOrders packPendingOrders(const PendingOrdersReport& report) { return { report.service, packVersion(report.version), packed::packAll(report.orders, packPendingOrder) }; }

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
        const auto first = packVerification(copies.configuration);
        return { first, difference(packVerification(copies.upstreams), first), difference(packVerification(copies.fleet), first) };
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

    LeaderReport unpackLeader(PackedLeader&& from)
    {
        auto& [service, upstream, term, lastTerm, position, at, hasRecentAnswer] = from;
        return { .service = std::move(service), .upstream = std::move(upstream), .term = term, .point = { .term = lastTerm, .position = position }, .at = at, .hasRecentAnswer = hasRecentAnswer };
    }

    PromotionReport unpackOrder(PackedOrder&& from)
    {
        auto& [service, candidate, fence, at, isLeading, term] = from;
        return { .service = std::move(service), .candidate = std::move(candidate), .fence = unpackVersion(fence), .at = at, .isLeading = isLeading, .term = term };
    }

    PendingOrderReport unpackPendingOrder(PackedPendingOrder&& from)
    {
        auto& [candidate, fence] = from;
        return { .candidate = std::move(candidate), .fence = unpackVersion(fence) };
    }

    PendingOrdersReport unpackPendingOrders(PackedPendingOrders&& from)
    {
        auto& [service, version, orders] = from;
        return { .service = std::move(service), .version = unpackVersion(version), .orders = packed::unpackAll(std::move(orders), unpackPendingOrder) };
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

std::string encodeDigest(const Digest& digest, WireFormat format)
{
    if (format == WireFormat::PlainVersions)
        return encodePlainDigest(digest);
    const auto packPart = [](const auto& part) { return packed::pack(part); };
    return packing::pack(PackedDigest {
        digest.vm,
        packed::pack(digest.profile),
        digest.requestsPeers,
        packVersions(digest.copies),
        packed::packAll(digest.leaders, packLeader),
        packed::packAll(digest.suspicions, packPart),
        packed::packAll(digest.orders, packOrder),
        packed::packAll(digest.activityAges, packPart),
        packed::packAll(digest.peers, packPart),
        packVerifications(digest.copies),
        digest.configurationVersion,
        packed::packAll(digest.pendingOrders, packPendingOrders),
        digest.pendingOrdersAt,
    });
}

std::optional<Digest> decodeDigest(std::string_view bytes)
{
    auto unpacked = packing::unpack<PackedDigest>(bytes);
    if (!unpacked)
        return decodePlainDigest(bytes);
    auto& [vm, profile, requestsPeers, versions, leaders, suspicions, orders, activityAges, peers, verifications, configurationVersion, pendingOrders, pendingOrdersAt] = *unpacked;
    if (!packed::isUsable(std::get<0>(profile)) || !std::all_of(peers.begin(), peers.end(), packed::isUsable))
        return std::nullopt;
    const auto unpackPart = []<typename Part>(Part&& part) { return packed::unpack(std::forward<Part>(part)); };
    return Digest {
        .vm = std::move(vm),
        .profile = packed::unpack(std::move(profile)),
        .requestsPeers = requestsPeers,
        .copies = unpackCopies(versions, verifications),
        .configurationVersion = configurationVersion,
        .leaders = packed::unpackAll(std::move(leaders), unpackLeader),
        .suspicions = packed::unpackAll(std::move(suspicions), unpackPart),
        .orders = packed::unpackAll(std::move(orders), unpackOrder),
        .activityAges = packed::unpackAll(std::move(activityAges), unpackPart),
        .peers = packed::unpackAll(std::move(peers), unpackPart),
        .pendingOrders = packed::unpackAll(std::move(pendingOrders), unpackPendingOrders),
        .pendingOrdersAt = pendingOrdersAt,
    };
}

}
