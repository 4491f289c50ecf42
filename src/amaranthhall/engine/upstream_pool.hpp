#pragma once

#include "amaranthhall/catalog/upstream_entry.hpp"
#include "amaranthhall/engine/link.hpp"
#include "amaranthhall/engine/prepared_statement.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/load/fleet_load.hpp"
#include "amaranthhall/placement/connection_share.hpp"
#include "amaranthhall/placement/upstream_health.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace amaranthhall::engine {

/// @brief Session settings by name.
using SessionSettings = std::map<std::string, std::string, std::less<>>;

/// @brief The links that a statement may use.
struct LinkScope {
    std::string_view organisation; ///< Organisation for which the statement runs; empty for none.
    bool isAny { false }; ///< Links of all organisations may be used, as for a status query, which reads no data.
};

/// @brief A pooled link and the upstream session state associated with it.
struct PooledLink {
    std::unique_ptr<Link> link;
    std::string organisation; ///< Told to the upstream when the link was opened; empty for none.
    SessionSettings settings;
    std::map<PreparedStatement, std::string> prepared; ///< Names at the upstream of the statements prepared on this link.
    std::size_t stateBytes { 0 }; ///< Of settings and prepared statements.
    Time idleSince;
    Time sentAt; ///< When the first outstanding command was sent or the last reply arrived, whichever is later.
    std::uint32_t running { 0 }; ///< Number of outstanding commands.
    bool isAcquired { false };
    bool isReleasing { false }; ///< Released, but a command or an open transaction has to end before reuse.
    bool isBroken { false };
    bool inTransaction { false };
    bool isForTransaction { false }; ///< Acquired for a transaction of a caller, which may be idle in it.
};

/// @brief Pool of links from this daemon to one upstream.
class UpstreamPool : public std::enable_shared_from_this<UpstreamPool> {
public:
    /// @brief Notifications from a pool to its owner.
    struct Callbacks {
        std::function<void()> available; ///< A link became idle or closed, opening one failed, or a pacing delay ended.
        std::function<void(const group::LogPoint&)> logPointReported; ///< A reply reported the position of the upstream's log.
        std::function<void()> lagRefused { [] {} }; ///< The upstream refused a read, as its log has not reached the required position.
    };

    UpstreamPool(kernel::Loop& loop, LinkFactory& factory, catalog::UpstreamEntry entry, Callbacks callbacks);
    ~UpstreamPool();

    void update(const catalog::UpstreamEntry& fresh) { this->upstream = fresh; }
    void setShare(const placement::ConnectionShare& links) noexcept { this->connectionShare = links; }

    /// @brief Sets the number of daemons that send to the upstream.
    void setDaemons(std::size_t count) noexcept { this->sendingDaemons = count; }

    /// @brief Acquires the idle link within the scope that needs the fewest commands to match the required settings; returns nullptr if none is idle.
    [[nodiscard]] std::shared_ptr<PooledLink> acquire(const LinkScope& scope, const SessionSettings& requiredSettings);

    /// @brief Returns a link to the pool; an open transaction is rolled back before the link is reused.
    void release(const std::shared_ptr<PooledLink>& link);

    /// @brief Records a stalled statement; counts as an upstream failure if the upstream is silent on all links.
    void noteStall();

    /// @brief Closes a link and removes it from the pool.
    void discard(const std::shared_ptr<PooledLink>& link);

    /// @brief Sends a command over an acquired link.
    void send(const std::shared_ptr<PooledLink>& link, const Command& command, Link::Done done);

    /// @brief Starts opening a link for an organisation; at the connection limit, the link of another organisation that has been idle longest makes room.
    void open(std::string_view organisation);

    /// @brief Closes links that have been idle for the given time while more than `keepCount` are open, and links whose release takes too long.
    void closeIdle(std::size_t keepCount, Duration idleTime);

    /// @brief Cancels pending opens and closes all links that are not in use, because the upstream is gone.
    void closeAll();

    /// @brief Returns whether a link may be opened for an organisation without having to wait for a slot of the upstream.
    [[nodiscard]] bool canOpen(std::string_view organisation) const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return this->links.size(); }
    [[nodiscard]] std::uint32_t idle(const LinkScope& scope) const noexcept;
    [[nodiscard]] std::uint32_t running() const noexcept;

    /// @brief Returns whether there are links and all of them are acquired.
    [[nodiscard]] bool isFullyUsed() const noexcept { return !this->links.empty() && this->idle({ .isAny = true }) == 0; }

    /// @brief Returns the number of links that transactions of callers hold.
    [[nodiscard]] std::uint32_t heldByTransactions() const noexcept;
    [[nodiscard]] std::uint32_t opening() const noexcept { return static_cast<std::uint32_t>(this->openings.size()); }

    /// @brief Returns the number of links that are being opened for an organisation.
    [[nodiscard]] std::uint32_t openingFor(std::string_view organisation) const noexcept;
    [[nodiscard]] const placement::ConnectionShare& share() const noexcept { return this->connectionShare; }
    [[nodiscard]] const catalog::UpstreamEntry& entry() const noexcept { return this->upstream; }
    /// @brief Returns the mean of the statements that lately ran on the upstream.
    [[nodiscard]] load::RecentMean& runningMean() noexcept { return this->recentRunning; }

    /// @brief Returns the number of statements that the upstream has refused for overload since the last call.
    [[nodiscard]] std::uint32_t takeRejected() noexcept { return std::exchange(this->rejected, 0); }

    [[nodiscard]] placement::UpstreamHealth& health() noexcept { return this->upstreamHealth; }

    /// @brief Returns the position of the upstream's log as of its last reply.
    [[nodiscard]] const std::optional<group::LogPoint>& logPoint() const noexcept { return this->lastPoint; }

    /// @brief Returns whether a statement sent at `sentAt` is stalled.
    [[nodiscard]] bool isStalled(Time sentAt, Time now) const noexcept;

    /// @brief Returns how long the upstream has been silent while a reply is outstanding.
    [[nodiscard]] Duration silence(Time now) const noexcept;

private:
    struct Opening;

    [[nodiscard]] std::shared_ptr<PooledLink> findReplaceable(std::string_view organisation) const noexcept;
    [[nodiscard]] bool isOpening(const Opening* opening) const noexcept;
    void onOpened(const Opening* opening, const std::shared_ptr<PooledLink>& link, OpenResult result);
    void onClosed(const std::shared_ptr<PooledLink>& link);
    void onReply(const std::shared_ptr<PooledLink>& link, Time sentAt, bool isWork, const Reply& reply);
    void finishRelease(const std::shared_ptr<PooledLink>& link);
    void pace();
    void makeIdle(const std::shared_ptr<PooledLink>& link);

    kernel::Loop& loop;
    LinkFactory& factory;
    catalog::UpstreamEntry upstream;
    Callbacks callbacks;
    placement::UpstreamHealth upstreamHealth;
    std::optional<group::LogPoint> lastPoint;
    std::size_t sendingDaemons { 1 };
    load::RecentMean recentRunning;
    std::uint32_t rejected { 0 }; ///< Statements refused for overload since the last call of takeRejected().
    kernel::Registration paceTimer;
    placement::ConnectionShare connectionShare;
    std::vector<std::shared_ptr<PooledLink>> links;
    std::vector<std::unique_ptr<Opening>> openings;
};

}
