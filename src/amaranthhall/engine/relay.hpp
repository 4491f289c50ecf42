#pragma once

#include "amaranthhall/catalog/configuration.hpp"
#include "amaranthhall/engine/link.hpp"
#include "amaranthhall/engine/request.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::engine {

/// @brief A prepared statement of a session.
struct PreparedStatement {
    bool writes { false };
    std::string shape;
};

/// @brief A statement that another daemon runs for a session, with what it needs of the session.
struct RelayedRequest {
    Request request;
    catalog::Route route;
    std::map<std::string, std::string, std::less<>> settings;
    std::optional<PreparedStatement> prepared; ///< Of an execution.
    std::optional<group::LogPoint> lastCommit; ///< Of the session.
    std::chrono::milliseconds timeLeft { 0 }; ///< Until the statement's deadline.
};

/// @brief The answer of the other daemon.
struct RelayedReply {
    Reply reply; ///< `reply.lost` if the way to the other daemon broke.
    std::optional<group::LogPoint> lastCommit; ///< Of the session after the statement.
};

/// @brief A way to another daemon for one statement or transaction; destroying it rolls back what is open there.
class RelayStream {
public:
    using Done = std::function<void(RelayedReply)>;

    RelayStream() = default;
    RelayStream(const RelayStream&) = delete;
    RelayStream& operator=(const RelayStream&) = delete;
    virtual ~RelayStream() = default;

    /// @brief Sends a statement; `done` is called once, never from within send(), unless the stream is destroyed before.
    virtual void send(const RelayedRequest& request, Done done) = 0;

    /// @brief Names the other daemon.
    [[nodiscard]] virtual const std::string& vm() const noexcept = 0;

    /// @brief Gives how long the other daemon has been silent although it owes answers.
    [[nodiscard]] virtual Duration silence(Time now) const noexcept = 0;

    /// @brief Takes in that the other daemon has fallen silent, so that others are preferred for a while.
    virtual void noteStall() = 0;
};

/// @brief What a statement needs of another daemon.
struct RelayRequirements {
    std::string_view service;
    bool needsLeader { false };
    std::span<const std::string> tried; ///< Daemons to leave out.
};

/// @brief Whether a daemon reaches the leader of a service, as its answers and its news tell.
enum class LeaderReachability : std::uint8_t {
    Reachable, ///< It has lately had an answer of the leader.
    Unknown,
    Unreachable, ///< It has lately refused a statement, as it does not reach the leader.
};

/// @brief Knows which daemons hold connections to the upstreams of a service.
class RelayRouter {
public:
    RelayRouter() = default;
    RelayRouter(const RelayRouter&) = delete;
    RelayRouter& operator=(const RelayRouter&) = delete;
    virtual ~RelayRouter() = default;

    /// @brief Tells whether this daemon holds connections for a service.
    [[nodiscard]] virtual bool hasLocalConnections(std::string_view service) = 0;

    /**
     * @brief Chooses another daemon that holds connections for a service.
     * @return Nothing if there is none.
     */
    [[nodiscard]] virtual std::unique_ptr<RelayStream> open(const RelayRequirements& requirements) = 0;

    /// @brief Takes in whether a daemon reaches the leader of a service.
    virtual void noteLeaderReachability(std::string_view service, const std::string& vm, LeaderReachability reach) = 0;
};

}
