#include "amaranthhall/relay/homes.hpp"

#include "amaranthhall/membership/rendezvous.hpp"

#include <algorithm>

namespace amaranthhall::relay {

namespace {

    constexpr std::size_t linksOfAHome = 6; // to each upstream: enough for its slots and for transactions that rest
    constexpr std::size_t fewestHomes = 2; // one may be lost
    constexpr std::size_t mostHomes = 12; // all that start at once open their links in a fraction of a second
    constexpr std::size_t smallFleet = 24; // daemons that all hold links, if there are enough

}

std::vector<std::string> chooseHomes(std::string_view service, std::span<const std::string> daemons, std::uint32_t connections)
{
    std::vector<std::string> homes(daemons.begin(), daemons.end());
    if (homes.size() <= smallFleet && connections >= homes.size())
        return homes;
    const auto key = "home/" + std::string(service);
    std::sort(homes.begin(), homes.end(), [&key](const auto& left, const auto& right) {
        return membership::rendezvousScore(left, key) > membership::rendezvousScore(right, key);
    });
    homes.resize(std::min(homes.size(), std::clamp<std::size_t>(connections / linksOfAHome, fewestHomes, mostHomes)));
    return homes;
}

}
