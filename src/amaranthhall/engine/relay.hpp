#pragma once

#include "amaranthhall/catalog/configuration.hpp"
#include "amaranthhall/engine/link.hpp"
#include "amaranthhall/engine/prepared_statement.hpp"
#include "amaranthhall/engine/request.hpp"
#include "amaranthhall/identity/identity.hpp"

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

/// @brief A statement relayed to another daemon, with the session state required to run it.
struct RelayedRequest {
    Request request;
    catalog::Route route;
    identity::Identity identity; ///< As decided by the daemon that holds the caller's session.
    std::map<std::string, std::string, std::less<>> settings;
    std::optional<PreparedStatement> prepared; ///< Set for an Execute request.
    std::optional<group::LogPoint> lastCommit; ///< Position of the session's last commit.
    std::chrono::milliseconds timeLeft { 0 }; ///< Time until the statement's deadline.
};

/// @brief The reply of the other daemon.
struct RelayedReply {
    Reply reply; ///< `reply.lost` is set if the connection to the other daemon failed.
    std::optional<group::LogPoint> lastCommit; ///< Position of the session's last commit after the statement.
};

/// @brief A stream to another daemon for one statement or transaction; destroying it rolls back a transaction that is open there.
class RelayStream {
public:
    using Done = std::function<void(RelayedReply)>;

    RelayStream() = default;
    RelayStream(const RelayStream&) = delete;
    RelayStream& operator=(const RelayStream&) = delete;
    virtual ~RelayStream() = default;

    /// @brief Sends a statement; `done` is called once, never from within send(), unless the stream is destroyed first.
    virtual void send(const RelayedRequest& request, Done done) = 0;

    /// @brief Returns the id of the VM that runs the other daemon.
    [[nodiscard]] virtual const std::string& vm() const noexcept = 0;

    /// @brief Returns how long the other daemon has been silent while replies are outstanding.
    [[nodiscard]] virtual Duration silence(Time now) const noexcept = 0;

    /// @brief Records that the other daemon has stopped replying, so that others are preferred for a while.
    virtual void noteStall() = 0;
};

/// @brief Requirements for the daemon that a statement is relayed to.
struct RelayRequirements {
    std::string_view service;
    std::string_view organisation; ///< Empty for a statement that runs for no organisation.
    bool needsLeader { false };
    unsigned leaderRoundTrips { 0 }; ///< Round trips to the leader that the statement takes on any daemon; 0 if other upstreams may serve it.
    std::span<const std::string> tried; ///< Daemons to exclude.
};

/// @brief Whether a daemon reaches the leader of a service, according to its replies and reports.
enum class LeaderReachability : std::uint8_t {
    Reachable, ///< It has recently received a reply from the leader.
    Unknown,
    Unreachable, ///< It has recently refused a statement because it does not reach the leader.
};

/// @brief Selects daemons that keep upstream connections for a service, to relay statements to.
class RelayRouter {
public:
    RelayRouter() = default;
    RelayRouter(const RelayRouter&) = delete;
    RelayRouter& operator=(const RelayRouter&) = delete;
    virtual ~RelayRouter() = default;

    /// @brief Returns whether this daemon keeps upstream connections for a service.
    [[nodiscard]] virtual bool hasLocalConnections(std::string_view service) = 0;

    /// @brief Returns whether this daemon is the one that runs an organisation's statements of a service; for no organisation, whether it keeps connections for the service.
    [[nodiscard]] virtual bool isHomeOf(std::string_view service, std::string_view organisation) = 0;

    /**
     * @brief Opens a stream to another daemon that keeps upstream connections for a service.
     * @return Null if no such daemon is available.
     */
    [[nodiscard]] virtual std::unique_ptr<RelayStream> open(const RelayRequirements& requirements) = 0;

    /// @brief Records whether a daemon reaches the leader of a service.
    virtual void noteLeaderReachability(std::string_view service, const std::string& vm, LeaderReachability reachability) = 0;
};

}
