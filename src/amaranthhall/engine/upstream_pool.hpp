#pragma once

#include "amaranthhall/catalog/upstream_entry.hpp"
#include "amaranthhall/engine/link.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/placement/connection_share.hpp"
#include "amaranthhall/placement/upstream_health.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranthhall::engine {

/// @brief Settings of a session by name.
using SessionSettings = std::map<std::string, std::string, std::less<>>;

/// @brief A link of a pool, and the session state that it holds.
struct PooledLink {
    std::unique_ptr<Link> link;
    SessionSettings settings;
    std::set<std::string, std::less<>> prepared; ///< Names that the pool gave.
    Time idleSince;
    Time sentAt; ///< Of the oldest command that is not answered.
    std::uint32_t running { 0 }; ///< Commands that are not answered.
    bool isAcquired { false };
    bool isReleasing { false }; ///< Given back, but a command or an open transaction must end first.
    bool isBroken { false };
    bool inTransaction { false };
};

/// @brief Links of this daemon to one upstream.
class UpstreamPool : public std::enable_shared_from_this<UpstreamPool> {
public:
    /// @brief What a pool tells its owner.
    struct Callbacks {
        std::function<void()> available; ///< A link is idle, or an opening ended.
        std::function<void(const group::LogPoint&)> logPointReported; ///< An answer told where its log stands.
    };

    UpstreamPool(kernel::Loop& loop, LinkFactory& factory, catalog::UpstreamEntry entry, Callbacks callbacks);
    ~UpstreamPool();

    void update(const catalog::UpstreamEntry& fresh) { this->upstream = fresh; }
    void setShare(const placement::ConnectionShare& links) noexcept { this->connectionShare = links; }

    /// @brief Sets the number of daemons that send to the upstream.
    void setDaemons(std::size_t count) noexcept { this->daemons = count; }

    /// @brief Lends the idle link whose session state is nearest to the wanted settings; nullptr if none is idle.
    [[nodiscard]] std::shared_ptr<PooledLink> acquire(const SessionSettings& wanted);

    /// @brief Takes a link back; one that is in a transaction is rolled back before it is lent again.
    void release(const std::shared_ptr<PooledLink>& link);

    /// @brief Takes in that the upstream has not answered a statement: it has fallen silent, or just this one hangs.
    void noteStall();

    /// @brief Closes a link.
    void discard(const std::shared_ptr<PooledLink>& link);

    /// @brief Sends a command over a lent link.
    void send(const std::shared_ptr<PooledLink>& link, const Command& command, Link::Done done);

    /// @brief Opens one more link.
    void open();

    /// @brief Closes idle links over the kept number that have rested for the given time.
    void closeIdle(std::size_t keepCount, Duration idleTime);

    /// @brief Gives up on openings and links, as the upstream is gone.
    void closeAll();

    /// @brief Tells whether one more link may be opened, and would not just wait for a slot.
    [[nodiscard]] bool canOpen() const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return this->links.size(); }
    [[nodiscard]] std::uint32_t idle() const noexcept;
    [[nodiscard]] std::uint32_t running() const noexcept;
    [[nodiscard]] std::uint32_t opening() const noexcept { return static_cast<std::uint32_t>(this->openings.size()); }
    [[nodiscard]] const placement::ConnectionShare& share() const noexcept { return this->connectionShare; }
    [[nodiscard]] const catalog::UpstreamEntry& entry() const noexcept { return this->upstream; }
    [[nodiscard]] placement::UpstreamHealth& health() noexcept { return this->state; }

    /// @brief Gives the position of its log in its last answer.
    [[nodiscard]] const std::optional<group::LogPoint>& logPoint() const noexcept { return this->lastPoint; }

    /// @brief Tells whether a statement sent at a moment hangs.
    [[nodiscard]] bool isStalled(Time sentAt, Time now) const noexcept;

    /// @brief Gives how long the upstream has been silent although it owes an answer.
    [[nodiscard]] Duration silence(Time now) const noexcept;

private:
    struct Opening;

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
    placement::UpstreamHealth state;
    std::optional<group::LogPoint> lastPoint;
    std::size_t daemons { 1 };
    kernel::Registration paceTimer;
    placement::ConnectionShare connectionShare;
    std::vector<std::shared_ptr<PooledLink>> links;
    std::vector<std::unique_ptr<Opening>> openings;
};

}
