#pragma once

#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/upstream/dispatcher.hpp"
#include "amaranthhall/upstream/pool_policy.hpp"
#include "amaranthhall/upstream/pq_link.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::upstream {

/// @brief How a borrower uses a link, which decides whether it must be reset.
enum class Use : std::uint8_t {
    Any,
    SureReads, ///< Only statements that surely change nothing, so a link that ran nothing but SELECTs needs no reset.
};

/// @brief What a pool tells its owner.
struct PoolHooks {
    std::function<void()> available; ///< A link has become idle, or a place for one free.
    std::function<void(group::Symptom)> symptom;
    std::function<void(const group::UpstreamStatus&)> status;
    std::function<void(const PoolCounts&)> counted; ///< The number of connections has changed.
};

/// @brief The connections to one upstream; held by a shared pointer, as leases keep it.
class Pool : public std::enable_shared_from_this<Pool> {
public:
    Pool(kernel::Loop& loop, Random& random, LinkOptions options, PoolHooks hooks);

    /// @brief Lends an idle link.
    /// @warning There must be one.
    [[nodiscard]] LinkLease lend(Use use);

    /// @brief Sets how many connections may be open, and how much work waits for one; opens and closes accordingly.
    void adjust(std::uint32_t allowance, std::uint32_t waiting);

    /**
     * @brief Takes in a new term of the group: links lent in an older one are closed on their return.
     * @param isPrimary Whether the upstream is primary in the new term. If it is not, work that counted on it as
     * primary is given up at once, since nothing that it does can be acknowledged any more.
     */
    void noteTerm(group::Term term, bool isPrimary);

    /// @brief Opens connections ahead of demand that is about to come.
    void expect(std::uint32_t connections);

    /// @brief Takes in whether the upstream answers: an upstream that is down loses its idle links, and one that answers again is tried at once.
    void noteReach(group::Reachability reach);

    /// @brief Closes idle links, and lent ones on their return; the pool calls no hook from now on.
    void retire();

    [[nodiscard]] const PoolCounts& counts() const noexcept { return this->tally; }
    [[nodiscard]] const LinkOptions& linkOptions() const noexcept { return this->options; }
    [[nodiscard]] std::uint32_t recentPeak() const noexcept { return this->state.recentPeak; }
    [[nodiscard]] bool isFailing() const noexcept { return isBackingOff(this->state, this->loop.now()); }

    /// @brief Gives the error of the last connect, if it failed.
    [[nodiscard]] const pgwire::ErrorFields& connectError() const noexcept { return this->lastError; }

private:
    class Slot;
    struct ClosingLink;

    void openOne();
    void opened(Slot& slot, const pgwire::ErrorFields& error);
    void takeBack(Slot& slot, bool reusable);
    void finishReset(Slot& slot, bool isClean);
    void makeIdle(Slot& slot);
    void close(Slot& slot);
    void awaitClose(kernel::Socket socket);
    void finishClose(ClosingLink& closing);
    void closeIdle(std::uint32_t count);
    void replan();
    void wakeLater(Time at);
    void announce();

    kernel::Loop& loop;
    Random& random;
    LinkOptions options;
    PoolHooks hooks;
    PoolState state;
    PoolCounts tally;
    std::uint32_t allowance { 0 };
    std::uint32_t waiting { 0 };
    group::Term term { 0 };
    group::Reachability reach { group::Reachability::Unknown };
    bool isRetired { false };
    bool isPlanning { false };
    pgwire::ErrorFields lastError;
    std::vector<std::shared_ptr<Slot>> slots;
    std::vector<Slot*> idle;
    std::optional<Time> wakeAt;
    kernel::Registration wakeTimer;
};

}
