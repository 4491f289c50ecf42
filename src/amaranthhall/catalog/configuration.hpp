#pragma once

#include "amaranthhall/catalog/organisation.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::catalog {

/// @brief Commits that a read must include.
enum class Consistency : std::uint8_t {
    Primary, ///< Every commit that was acknowledged before the read.
    BoundedStaleness, ///< Every commit older than Route::maximumStaleness.
    ReadYourWrites, ///< Those of BoundedStaleness and every earlier commit of the session.
};

/// @brief Routing rules for the statements of one database.
struct Route {
    std::string database;
    std::string service;
    Consistency consistency { Consistency::Primary };
    std::chrono::milliseconds statementTimeout { 1000 };
    std::chrono::milliseconds targetLatency { 100 };
    std::chrono::milliseconds maximumStaleness { 0 };
    unsigned priority { 0 }; ///< 0 is the most urgent.
    bool isPublic { false }; ///< Callers need no key, even where the configuration has organisations.
};

/// @brief Limits of one service.
struct ServiceSpec {
    std::string name;
    std::uint32_t maximumConnections { 0 }; ///< Connections to each upstream, from all daemons together.
    std::uint32_t synchronousReplicas { 0 }; ///< Replicas that have received a commit when the primary confirms it.

    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// @brief One version of the operators' configuration.
struct Configuration {
    std::uint64_t version { 0 };
    std::map<std::string, Route, std::less<>> routes; ///< By database.
    std::map<std::string, ServiceSpec, std::less<>> services; ///< By name.
    std::chrono::milliseconds transactionIdleLimit { 3000 };
    unsigned mostUrgentPriority { 0 }; ///< Least value of Route::priority among the routes.
    std::optional<Organisations> organisations; ///< Absent if the deployment has no organisations and requires no keys.

    /// @brief Returns the route of a database, or nullptr if there is none.
    [[nodiscard]] const Route* findRoute(std::string_view database) const noexcept
    {
        const auto found = this->routes.find(database);
        return found == this->routes.end() ? nullptr : &found->second;
    }

    /// @brief Returns the limits of a service, or nullptr if it is not configured.
    [[nodiscard]] const ServiceSpec* findService(std::string_view name) const noexcept
    {
        const auto found = this->services.find(name);
        return found == this->services.end() ? nullptr : &found->second;
    }
};

}
