#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/socket.hpp"
#include "amaranthhall/standin/connection_register.hpp"
#include "amaranthhall/standin/group_log.hpp"
#include "amaranthhall/standin/sql_database.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::standin {

/// @brief How a stand-in upstream is started.
struct UpstreamOptions {
    std::string name;
    kernel::Address listen;
    std::chrono::milliseconds connectDelay { 0 };
    std::uint32_t connectionLimit { 100 };
    std::uint32_t slots { 2 }; ///< Replicas that may follow it.
    bool startsAsPrimary { false };
    std::string password; ///< Empty asks for none.
};

/// @brief How far an upstream stays behind as a replica.
struct ReplicaLag {
    std::chrono::milliseconds feed { 0 }; ///< Until it holds a record that reached it.
    std::chrono::milliseconds apply { 0 }; ///< From then until its reads show the record.
};

class UpstreamSession;
class ReplicaFeed;

/// @brief An emulated database upstream: SQL by SQLite, a log, terms, and replicas that follow.
class UpstreamServer {
public:
    UpstreamServer(kernel::Loop& loop, UpstreamOptions options);
    ~UpstreamServer();
    UpstreamServer(const UpstreamServer&) = delete;
    UpstreamServer& operator=(const UpstreamServer&) = delete;

    /// @brief Gives the port on which it listens.
    [[nodiscard]] std::uint16_t port() const noexcept { return this->boundPort; }

    [[nodiscard]] kernel::Loop& eventLoop() noexcept { return this->loop; }
    [[nodiscard]] GroupLog& log() noexcept { return this->groupLog; }
    [[nodiscard]] const UpstreamOptions& settings() const noexcept { return this->options; }
    [[nodiscard]] group::UpstreamStatus status() const noexcept;
    [[nodiscard]] const std::string& databaseName() const noexcept { return this->database; }
    [[nodiscard]] ConnectionRegister& connections() noexcept { return this->openConnections; }
    [[nodiscard]] const ReplicaLag& lag() const noexcept { return this->replicaLag; }

    /// @brief Gives how long ago a primary's feed was last heard; zero for a primary.
    [[nodiscard]] std::chrono::milliseconds feedAge() const;

    /// @brief Notes that a primary's feed was heard.
    void noteFeed();

    /// @brief Appends a committed transaction to the log and wakes the feeds.
    void logCommit(std::vector<LoggedStatement> statements);

    /// @brief Takes a feed and applies its records.
    [[nodiscard]] FeedAnswer takeFeed(const Feed& feed);

    /// @brief Becomes primary; what is held but not yet applied is applied first.
    [[nodiscard]] bool promote(group::Term term);

    /// @brief Accepts a higher term; a primary thereby stops being one.
    [[nodiscard]] bool fence(group::Term term);

    /// @brief Sets the addresses (`host:port`) of the other upstreams of the group.
    void setPeers(const std::vector<std::string>& peers);

    /// @brief Tells whether one more replica may follow.
    [[nodiscard]] bool hasFreeSlot() const;

    void setLeaving(bool leaving) noexcept { this->isLeaving = leaving; }
    void setLag(ReplicaLag lag);

    /// @brief Cancels what the connection of these keys runs.
    void cancel(std::int32_t process, std::int32_t secret);

    /// @brief Ends all connections of an application name; gives how many.
    std::size_t release(const std::string& application);

    /// @brief Ends a session.
    void drop(UpstreamSession& session);

private:
    /// A record that waits to be applied.
    struct DueRecord {
        group::Position position;
        Time at;
    };

    void accept();
    void apply();
    void applyAll();
    [[nodiscard]] bool applyNext();
    void interruptSessions();
    void rebuild();
    void wake();
    void wakeNow();

    kernel::Loop& loop;
    UpstreamOptions options;
    GroupLog groupLog;
    std::string database;
    std::unique_ptr<SqlDatabase> applier;
    group::Position applied { 0 };
    std::deque<DueRecord> due;
    ReplicaLag replicaLag;
    Time feedHeardAt;
    Time blockedSince;
    bool isLeaving { false };
    bool willWake { false };
    std::uint32_t generation { 0 };
    kernel::Socket listener;
    std::uint16_t boundPort { 0 };
    kernel::Registration acceptWatch;
    kernel::Registration applyTimer;
    ConnectionRegister openConnections;
    std::list<std::shared_ptr<UpstreamSession>> sessions;
    std::vector<std::unique_ptr<ReplicaFeed>> feeds;
};

}
