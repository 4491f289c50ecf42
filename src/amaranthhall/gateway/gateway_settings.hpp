#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/settings_error.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace amaranthhall::gateway {

/// @brief Settings of the gateway daemon, read from its YAML file.
struct GatewaySettings {
    std::string vm;
    std::string zone;
    double cores { 1 }; ///< Processor capacity of the VM; may be less than 1.
    double memoryMegabytes { 0 }; ///< Memory of the VM in MB; 0 for the machine's memory.
    double descriptors { 0 }; ///< Descriptors that the process may open; 0 for the limit of the process.
    kernel::Address callers; ///< Listen address for callers.
    kernel::Address ready; ///< Listen address for the platform's readiness checks.
    kernel::Address peers; ///< Listen address for other daemons, TCP and UDP.
    kernel::Address relay; ///< Listen address for statements that other daemons relay.
    std::vector<kernel::Address> seeds; ///< Daemons to contact first to discover the others.
    kernel::Address metrics; ///< Listen address for metrics.
    kernel::Address store; ///< Address of the platform's metadata store.
    kernel::Address promotionEndpoint; ///< Address of the platform's endpoint for promotion requests.
    bool checksFences { true }; ///< The platform refuses a promotion request whose fencing token is older than one that it has seen.
    std::chrono::milliseconds drainLimit { 5000 }; ///< Maximum time from SIGTERM to the end of the process.
    std::chrono::milliseconds upstreamDrainLimit { 7000 }; ///< Time after which a draining upstream gets no new work.
    std::chrono::milliseconds configurationLimit { 3000 }; ///< Time within which a confirmed configuration must be in force.
    std::chrono::milliseconds quotaWindow { 5000 }; ///< Window in which the limits of organisations are checked.
    double quotaExcess { 0 }; ///< Fraction by which the operations within a window may exceed the limit.
    double quotaSlack { 0 }; ///< Operations by which they may exceed it beyond that.
    double bytePrice { 0 }; ///< Latency in milliseconds that a statement may gain for each kilobyte that does not leave its zone.
    std::string logLevel { "info" };
};

/// @brief Reads and checks settings from YAML text.
[[nodiscard]] tl::expected<GatewaySettings, kernel::SettingsError> parseGatewaySettings(std::string_view yaml);

/// @brief Reads and checks a settings file.
[[nodiscard]] tl::expected<GatewaySettings, kernel::SettingsError> loadGatewaySettings(const std::string& file);

}
