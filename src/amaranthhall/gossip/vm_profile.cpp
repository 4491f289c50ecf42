#include "amaranthhall/gossip/vm_profile.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhall::gossip {

namespace {

    using Json = nlohmann::json;

}

std::string encodeProfile(const VmProfile& profile)
{
    return Json { { "address", kernel::formatAddress(profile.address) }, { "zone", profile.zone }, { "cores", profile.cores }, { "relay_version", profile.relayVersion } }.dump();
}

std::optional<VmProfile> decodeProfile(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        const auto address = kernel::parseAddress(json.at("address").get<std::string>());
        if (!address)
            return std::nullopt;
        VmProfile profile;
        profile.address = *address;
        profile.zone = json.at("zone").get<std::string>();
        profile.cores = json.at("cores").get<double>();
        profile.relayVersion = json.value("relay_version", 0U);
        return profile.cores > 0 ? std::optional(std::move(profile)) : std::nullopt;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}
