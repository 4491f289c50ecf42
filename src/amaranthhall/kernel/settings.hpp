#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/settings_error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace amaranthhall::kernel {

/// @brief Where this daemon runs.
struct VmSettings {
    std::string id;
    std::string region;
    std::string zone;

    friend bool operator==(const VmSettings&, const VmSettings&) = default;
};

/// @brief Where this daemon listens; port 0 takes a free one, which the log tells.
struct ListenSettings {
    Address caller;
    Address peer;
    Address admin;

    friend bool operator==(const ListenSettings&, const ListenSettings&) = default;
};

/// @brief How this daemon authenticates to upstreams.
struct UpstreamSettings {
    std::string user;
    std::string password;
    std::string tlsMode { "prefer" }; ///< As libpq's `sslmode`.
    std::string tlsRootCertificate; ///< File; empty for none.

    friend bool operator==(const UpstreamSettings&, const UpstreamSettings&) = default;
};

/// @brief One caller's name and its salted hash, in the form that PostgreSQL stores (`SCRAM-SHA-256$...`).
struct CallerUser {
    std::string name;
    std::string secret;

    friend bool operator==(const CallerUser&, const CallerUser&) = default;
};

/// @brief How callers authenticate.
struct CallerSettings {
    bool trustLoopback { false };
    std::vector<CallerUser> users;
    std::string tlsCertificate; ///< File; empty refuses TLS.
    std::string tlsKey;

    friend bool operator==(const CallerSettings&, const CallerSettings&) = default;
};

/// @brief Settings of a daemon, from its YAML file.
struct Settings {
    VmSettings vm;
    ListenSettings listen;
    Address platform;
    std::vector<std::string> peerKeys; ///< The first signs, all verify; so a key can be rotated.
    UpstreamSettings upstreams;
    CallerSettings callers;
    std::string logLevel { "info" };
    bool logStatements { false };
    std::string traceFile; ///< Empty for no traces.
    std::chrono::milliseconds drainLimit { 30'000 };
};

/**
 * @brief Compares settings before and after a reload.
 * @return The top-level keys that differ and take effect only after a restart; the log level is not among them.
 */
[[nodiscard]] std::vector<std::string_view> findRestartKeys(const Settings& before, const Settings& after);

/// @brief Reads and checks settings from YAML text.
[[nodiscard]] tl::expected<Settings, SettingsError> parseSettings(std::string_view yaml);

/// @brief Reads and checks a settings file.
[[nodiscard]] tl::expected<Settings, SettingsError> loadSettings(const std::string& file);

}
