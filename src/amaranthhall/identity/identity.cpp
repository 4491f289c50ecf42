#include "amaranthhall/identity/identity.hpp"

namespace amaranthhall::identity {

bool requiresKey(const catalog::Configuration& configuration, const catalog::Route& route) noexcept
{
    return configuration.organisations.has_value() && !route.isPublic;
}

std::optional<Identity> identify(const catalog::Configuration& configuration, const catalog::Route& route, const Credential& credential)
{
    Identity identity { .credential = credential, .configurationVersion = configuration.version };
    if (!requiresKey(configuration, route))
        return identity;
    const auto* holder = credential ? configuration.organisations->findByKey(*credential) : nullptr;
    if (!holder)
        return std::nullopt;
    identity.organisation = holder->name;
    return identity;
}

std::optional<Identity> reviewRelayed(const catalog::Configuration* configuration, const catalog::Route& route, const Identity& relayed)
{
    const bool isOwnNewer = configuration && configuration->version >= relayed.configurationVersion;
    return isOwnNewer ? identify(*configuration, route, relayed.credential) : std::optional(relayed);
}

}
