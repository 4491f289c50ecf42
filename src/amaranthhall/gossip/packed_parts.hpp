#pragma once

#include "amaranthhall/gossip/digest.hpp"

#include <cmath>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// @brief Wire format of the parts of a digest that are the same in all formats.
namespace amaranthhall::gossip::packed {

inline constexpr double coresScale = 1000; ///< Cores are transmitted as integer thousandths.

using Address = std::tuple<std::string, std::uint16_t>;
using Profile = std::tuple<Address, std::string, std::int64_t, std::uint32_t>;
using Suspicion = std::tuple<std::string, std::string, bool>;
using Age = std::tuple<std::uint32_t, std::int64_t>;

[[nodiscard]] inline Address pack(const kernel::Address& address) { return { address.host, address.port }; }
[[nodiscard]] inline Profile pack(const VmProfile& profile) { return { pack(profile.address), profile.zone, std::lround(profile.cores * coresScale), profile.relayVersion }; }
[[nodiscard]] inline Suspicion pack(const SuspicionReport& report) { return { report.service, report.upstream, report.isRefusing }; }
[[nodiscard]] inline Age pack(const ActivityAge& entry) { return { entry.shortId, entry.age.count() }; }

[[nodiscard]] inline kernel::Address unpack(Address&& from)
{
    return { .host = std::move(std::get<0>(from)), .port = std::get<1>(from) };
}

[[nodiscard]] inline VmProfile unpack(Profile&& from)
{
    auto& [address, zone, cores, relayVersion] = from; // a daemon without relay versions sends three elements, which leaves 0
    return { .address = unpack(std::move(address)), .zone = std::move(zone), .cores = static_cast<double>(cores) / coresScale, .relayVersion = relayVersion };
}

[[nodiscard]] inline SuspicionReport unpack(Suspicion&& from)
{
    auto& [service, upstream, isRefusing] = from;
    return { .service = std::move(service), .upstream = std::move(upstream), .isRefusing = isRefusing };
}

[[nodiscard]] inline ActivityAge unpack(Age&& from)
{
    const auto& [shortId, age] = from;
    return { .shortId = shortId, .age = std::chrono::milliseconds(age) };
}

/// @brief Packs a list with a function for one item.
template <typename Item, typename Pack>
[[nodiscard]] auto packAll(const std::vector<Item>& items, Pack packItem)
{
    std::vector<decltype(packItem(items.front()))> all;
    all.reserve(items.size());
    for (const auto& item : items)
        all.push_back(packItem(item));
    return all;
}

/// @brief Unpacks a list with a function for one item.
template <typename Packed, typename Unpack>
[[nodiscard]] auto unpackAll(std::vector<Packed>&& items, Unpack unpackItem)
{
    std::vector<decltype(unpackItem(std::move(items.front())))> all;
    all.reserve(items.size());
    for (auto& item : items)
        all.push_back(unpackItem(std::move(item)));
    return all;
}

/// @brief Returns whether datagrams can be sent to an address that another daemon has told.
[[nodiscard]] inline bool isUsable(const Address& address)
{
    return kernel::isIpAddress({ .host = std::get<0>(address), .port = std::get<1>(address) });
}

}
