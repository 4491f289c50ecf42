#pragma once

#include "amaranthhall/catalog/configuration.hpp"
#include "amaranthhall/hashing/key_digest.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace amaranthhall::identity {

/// @brief The digest of the key that a caller presented; std::nullopt if it presented none.
using Credential = std::optional<hashing::KeyDigest>;

/// @brief The organisation for which a statement runs, and the configuration by which a daemon decided so.
struct Identity {
    std::string organisation; ///< Empty if the route requires no key.
    Credential credential;
    std::uint64_t configurationVersion { 0 };
};

/// @brief Returns whether a route requires the key of an organisation.
[[nodiscard]] bool requiresKey(const catalog::Configuration& configuration, const catalog::Route& route) noexcept;

/**
 * @brief Identifies the caller of a statement.
 * @return std::nullopt if the route requires a key and no organisation holds the credential.
 */
[[nodiscard]] std::optional<Identity> identify(const catalog::Configuration& configuration, const catalog::Route& route, const Credential& credential);

/**
 * @brief Reviews the identity that another daemon decided for a statement it relayed, by the newer of the two configurations.
 * @param configuration Configuration of this daemon; nullptr if it has none yet.
 * @param relayed Identity as decided by the daemon that holds the caller's session.
 * @return std::nullopt if this daemon's configuration is newer and no longer accepts the credential.
 */
[[nodiscard]] std::optional<Identity> reviewRelayed(const catalog::Configuration* configuration, const catalog::Route& route, const Identity& relayed);

}
