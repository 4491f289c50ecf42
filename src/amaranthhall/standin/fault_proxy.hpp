#pragma once

#include "amaranthhall/http/server.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/standin/fault_connection.hpp"
#include "amaranthhall/standin/fault_rule.hpp"

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::standin {

/// @brief How a fault proxy is started.
struct FaultProxyOptions {
    kernel::Address listen; ///< Where it takes its orders by HTTP.
    std::uint64_t seed { 1 };
};

/**
 * @brief A TCP proxy that injects faults, steered by HTTP.
 *
 * `POST /routes {"name", "target"}` opens a port before a target and answers `{"port"}`.
 * `POST /rules` puts a FaultRule in force. `DELETE /rules` ends all of them.
 */
class FaultProxy {
public:
    FaultProxy(kernel::Loop& loop, const FaultProxyOptions& options);

    /// @brief Gives the port for orders.
    [[nodiscard]] std::uint16_t port() const noexcept { return this->server.port(); }

    /// @brief Opens a port before a target; connections to it are proxied.
    std::uint16_t addRoute(std::string name, kernel::Address target);

    /// @brief Puts a rule in force.
    void addRule(FaultRule rule);

    /// @brief Ends all rules; what was held goes on.
    void clearRules();

private:
    struct Connection {
        std::string route;
        std::unique_ptr<FaultConnection> proxied;
    };
    struct Route {
        std::string name;
        kernel::Address target;
        kernel::Socket listener;
        kernel::Registration watch;
    };

    void accept(Route& route);
    void applyRules(Connection& connection);
    [[nodiscard]] const FaultRule* findRule(const Connection& connection) const;

    kernel::Loop& loop;
    Random random;
    http::Server server;
    std::list<Route> routes;
    std::list<Connection> connections;
    std::vector<FaultRule> rules;
};

}
