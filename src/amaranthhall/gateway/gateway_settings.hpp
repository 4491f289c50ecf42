#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/settings_error.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace amaranthhall::gateway {

/// @brief Settings of the gateway daemon, from its YAML file.
struct GatewaySettings {
    std::string vm;
    std::string zone;
    double cores { 1 }; ///< Share of a processor that the VM has; may be less than 1.
    kernel::Address callers; ///< Listens for callers.
    kernel::Address ready; ///< Listens for the platform's readiness checks.
    kernel::Address peers; ///< Listens for other daemons, by TCP and UDP.
    kernel::Address relay; ///< Listens for statements that other daemons hand on.
    std::vector<kernel::Address> seeds; ///< Daemons to ask for others.
    kernel::Address metrics; ///< Serves metrics.
    kernel::Address store; ///< The platform's metadata store.
    kernel::Address promotionEndpoint; ///< The platform's endpoint for orders.
    std::chrono::milliseconds drainLimit { 5000 }; ///< From SIGTERM to the end of the process.
    std::chrono::milliseconds upstreamDrainLimit { 7000 }; ///< A draining upstream gets no new work after this.
    std::string logLevel { "info" };
};

/// @brief Reads and checks settings from YAML text.
[[nodiscard]] tl::expected<GatewaySettings, kernel::SettingsError> parseGatewaySettings(std::string_view yaml);

/// @brief Reads and checks a settings file.
[[nodiscard]] tl::expected<GatewaySettings, kernel::SettingsError> loadGatewaySettings(const std::string& file);

}
