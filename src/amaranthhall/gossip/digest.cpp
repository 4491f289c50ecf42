#include "amaranthhall/gossip/digest.hpp"

#include "amaranthhall/gossip/packed_version.hpp"
#include "amaranthhall/packing/packing.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthhall::gossip {

namespace {

    constexpr double milli = 1000; // cores travel as thousandths

    using PackedAddress = std::tuple<std::string, std::uint16_t>;
    using PackedProfile = std::tuple<PackedAddress, std::string, std::int64_t>;
    using PackedVersions = std::tuple<PackedVersion, PackedVersion, PackedVersion>;
    using PackedLeader = std::tuple<std::string, std::string, group::Term, group::Term, group::Position, freshness::Micros, bool>;
    using PackedSuspicion = std::tuple<std::string, std::string, bool>;
    using PackedOrder = std::tuple<std::string, std::string, PackedVersion, freshness::Micros, bool, group::Term>;
    using PackedAge = std::tuple<std::uint32_t, std::int64_t>;
    using PackedDigest = std::tuple<std::string, PackedProfile, bool, PackedVersions, std::vector<PackedLeader>, std::vector<PackedSuspicion>, std::vector<PackedOrder>, std::vector<PackedAge>, std::vector<PackedAddress>>;

    PackedAddress packed(const kernel::Address& address) { return { address.host, address.port }; }
    PackedProfile packed(const VmProfile& profile) { return { packed(profile.address), profile.zone, std::lround(profile.cores * milli) }; }
    PackedVersions packed(const TableVersions& versions) { return { packVersion(versions.configuration), packVersion(versions.upstreams), packVersion(versions.fleet) }; }
    PackedLeader packed(const LeaderNews& news) { return { news.service, news.upstream, news.term, news.point.term, news.point.position, news.at, news.isReached }; }
    PackedSuspicion packed(const SuspicionNews& news) { return { news.service, news.upstream, news.isRefusing }; }
    PackedOrder packed(const OrderNews& news) { return { news.service, news.candidate, packVersion(news.fence), news.at, news.isLeading, news.term }; }
    PackedAge packed(const AgeNews& news) { return { news.vm, news.age.count() }; }

    template <typename Item>
    auto packedAll(const std::vector<Item>& items)
    {
        std::vector<decltype(packed(items.front()))> all;
        all.reserve(items.size());
        for (const auto& item : items)
            all.push_back(packed(item));
        return all;
    }

    kernel::Address restore(PackedAddress&& from)
    {
        return { .host = std::move(std::get<0>(from)), .port = std::get<1>(from) };
    }

    VmProfile restore(PackedProfile&& from)
    {
        auto& [address, zone, cores] = from;
        return { .address = restore(std::move(address)), .zone = std::move(zone), .cores = static_cast<double>(cores) / milli };
    }

    TableVersions restore(PackedVersions&& from)
    {
        const auto& [configuration, upstreams, fleet] = from;
        return { .configuration = restoreVersion(configuration), .upstreams = restoreVersion(upstreams), .fleet = restoreVersion(fleet) };
    }

    LeaderNews restore(PackedLeader&& from)
    {
        auto& [service, upstream, term, lastTerm, position, at, isReached] = from;
        return { .service = std::move(service), .upstream = std::move(upstream), .term = term, .point = { .term = lastTerm, .position = position }, .at = at, .isReached = isReached };
    }

    SuspicionNews restore(PackedSuspicion&& from)
    {
        auto& [service, upstream, isRefusing] = from;
        return { .service = std::move(service), .upstream = std::move(upstream), .isRefusing = isRefusing };
    }

    OrderNews restore(PackedOrder&& from)
    {
        auto& [service, candidate, fence, at, isLeading, term] = from;
        return { .service = std::move(service), .candidate = std::move(candidate), .fence = restoreVersion(fence), .at = at, .isLeading = isLeading, .term = term };
    }

    AgeNews restore(PackedAge&& from)
    {
        const auto& [vm, age] = from;
        return { .vm = vm, .age = std::chrono::milliseconds(age) };
    }

    template <typename Packed>
    auto restoreAll(std::vector<Packed>&& items)
    {
        std::vector<decltype(restore(std::move(items.front())))> all;
        all.reserve(items.size());
        for (auto& item : items)
            all.push_back(restore(std::move(item)));
        return all;
    }

}

Digest restrictTo(const Digest& digest, std::span<const std::string> services)
{
    auto restricted = digest;
    const auto isOther = [services](const auto& news) { return !std::binary_search(services.begin(), services.end(), news.service); };
    std::erase_if(restricted.leaders, isOther);
    std::erase_if(restricted.suspicions, isOther);
    std::erase_if(restricted.orders, isOther);
    return restricted;
}

std::string encodeDigest(const Digest& digest)
{
    return packing::pack(PackedDigest { digest.vm, packed(digest.profile), digest.wantsPeers, packed(digest.versions), packedAll(digest.leaders), packedAll(digest.suspicions), packedAll(digest.orders), packedAll(digest.ages), packedAll(digest.peers) });
}

std::optional<Digest> decodeDigest(std::string_view bytes)
{
    auto whole = packing::unpack<PackedDigest>(bytes);
    if (!whole)
        return std::nullopt;
    auto& [vm, profile, wantsPeers, versions, leaders, suspicions, orders, ages, peers] = *whole;
    return Digest {
        .vm = std::move(vm),
        .profile = restore(std::move(profile)),
        .wantsPeers = wantsPeers,
        .versions = restore(std::move(versions)),
        .leaders = restoreAll(std::move(leaders)),
        .suspicions = restoreAll(std::move(suspicions)),
        .orders = restoreAll(std::move(orders)),
        .ages = restoreAll(std::move(ages)),
        .peers = restoreAll(std::move(peers)),
    };
}

}
