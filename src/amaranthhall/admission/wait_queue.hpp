#pragma once

#include "amaranthhall/admission/admission.hpp"
#include "amaranthhall/admission/decayed_rate.hpp"
#include "amaranthhall/admission/service_times.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace amaranthhall::admission {

/// @brief Statements that compete for the same upstreams: those for any upstream, and those for the leader.
enum class Lane : std::uint8_t {
    Any,
    Leader,
};

/// @brief A statement that waits for a connection.
struct WaitingStatement {
    std::uint64_t id { 0 };
    StatementClass kind;
    unsigned priority { 0 }; ///< 0 is the most urgent.
    std::string_view organisation; ///< Empty for none.
    std::string_view flow; ///< Equal for statements that the same connections can serve.
    Time target; ///< When the reply is due.
    Time deadline; ///< When the statement times out.
    Duration expectedServiceTime { 0 }; ///< From sending to answer, at the current latency of the upstreams.
    Duration work { 0 }; ///< Expected service time on an uncongested upstream.
    unsigned attempt { 0 }; ///< Number of earlier attempts by this daemon.
    bool needsLeader { false };
    bool isProbe { false }; ///< A query of the daemon itself: never refused, and not counted in averages, as statements may wait for its reply.
};

/**
 * @brief The statements of a service that wait for a connection, and the decision which is served next.
 *
 * Serving order within a lane: statements that can still be on time before the others, each group by priority, then by the time the
 * reply is due. A class whose target is a multiple of the shortest one of its priority is moved back by that multiple of its
 * target, as it can wait. Each class that waits keeps a minimum share of what is granted, and so do late statements together.
 * A repeated attempt is ordered as if it were due one target latency after its arrival. What an organisation sends beyond a multiple of
 * its usual load in a class is ordered as if it arrived later.
 *
 * Each operation costs O(log n), besides the number of flows that are blocked in a pass.
 */
class WaitQueue {
public:
    static constexpr std::size_t defaultLimit = 512;

    explicit WaitQueue(std::size_t usedLimit = defaultLimit) noexcept
        : limit(usedLimit)
    {
    }
    WaitQueue(const WaitQueue&) = delete;
    WaitQueue& operator=(const WaitQueue&) = delete;

    /// @brief The statement to be served next.
    struct Next {
        std::uint64_t id { 0 };
        bool willTimeOut { false }; ///< It would time out before it is answered.
    };

    /// @brief Queues a statement, or refuses it if it can't be served before its deadline or would be late where others occupy the capacity.
    tl::expected<void, Shed> push(const WaitingStatement& statement, Time now);

    /// @brief Starts a pass over the queue, in which no flow or lane is blocked yet.
    void beginPass() noexcept { ++this->pass; }

    /// @brief Returns the statement to be served next that is not blocked in this pass; it stays in the queue.
    [[nodiscard]] std::optional<Next> next(Time now);
    [[nodiscard]] std::optional<Next> next(Time now, Lane lane);

    /// @brief Skips the statements of the lane and flow of a statement for the rest of the pass.
    void block(std::uint64_t id) noexcept;

    /// @brief Skips the lane for the rest of the pass.
    void block(Lane lane) noexcept;

    /// @brief Records that a statement waits because all connections of its lane are in use, not because one is being opened.
    void noteSaturated(Lane lane, Time now) noexcept;

    /// @brief Removes a statement that was granted a connection.
    void grant(std::uint64_t id, Time now);

    /// @brief Removes a statement that is not granted one.
    void remove(std::uint64_t id) noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }
    [[nodiscard]] bool empty() const noexcept { return this->entries.empty(); }

    /// @brief Returns how many statements of an organisation wait.
    [[nodiscard]] std::size_t waitingFor(std::string_view organisation) const noexcept;

    /// @brief Returns how many statements of the flow of a statement wait.
    [[nodiscard]] std::size_t waitingInFlowOf(std::uint64_t id) const noexcept;

    /// @brief Returns how many statements of a class wait.
    [[nodiscard]] std::size_t waitingOf(std::size_t classIndex) const noexcept;

    /// @brief Returns how many statements of a lane wait because the connections are in use; 0 while connections are free.
    [[nodiscard]] std::size_t waitingIn(Lane lane) const noexcept;

    /// @brief Returns how long a statement would wait, from what waits before it, the measured rate of grants and the arrivals that would overtake it; nothing if the rate is unknown.
    [[nodiscard]] std::optional<Duration> estimateWait(const WaitingStatement& statement, bool isLate, Time now) const;

private:
    static constexpr Duration usageTimeConstant = std::chrono::seconds(60); ///< Over which the usual load of an organisation is measured.

    /// Serving order within a group.
    struct Key {
        unsigned priority { 0 };
        Time time;
        std::uint64_t id { 0 };
        auto operator<=>(const Key&) const = default;
    };

    struct Flow {
        std::size_t count { 0 };
        std::array<std::uint64_t, 2> blockedIn {}; ///< Pass in which it is blocked, by lane.
    };
    using Flows = std::map<std::string, Flow, std::less<>>;

    /// The statements of a class that are on time, or those that are late.
    struct Group {
        std::set<Key> all;
        std::map<const Flow*, std::set<Key>> byFlow;
        std::map<Key, const Flow*> heads; ///< First of each flow.
        double work { 0 }; ///< Sum of the expected service times, in seconds.
    };

    struct ClassState {
        Group onTime;
        Group late;
        DecayedRate arrivals { std::chrono::seconds(1) }; ///< Work of the statements queued to be on time.
        DecayedRate demand { std::chrono::seconds(10) }; ///< Work of all that arrive, also of those refused, over a time that outlasts a burst.
        double credit { 0 }; ///< Work due to the class from its minimum share, in seconds.
        double targetLatency { 0 }; ///< Average, in seconds; 0 if unknown.
        Time lastPushedAt;
        unsigned lastPriority { 0 };
        bool keepsShare { false }; ///< Not all classes have its priority and target, so that the order alone could starve it or its late statements.
    };

    /// Rate at which a lane is served while statements wait, in seconds of work per second.
    struct Speed {
        double work { 0 };
        double time { 0 };
        double grants { 0 };
        std::uint32_t samples { 0 };
        Time lastSampleAt;
    };

    struct LaneState {
        std::array<ClassState, ServiceTimes::classCount> classes;
        std::size_t count { 0 };
        std::uint64_t blockedIn { 0 };
        std::optional<Time> servedAt; ///< Last grant since statements wait, or since when they do; unset while connections are free.
        Speed speed;
        double lateCredit { 0 };
    };

    /// Load of an organisation in a class.
    struct Usage {
        DecayedRate usual { usageTimeConstant };
        Time virtualTime; ///< Up to which its allowance is used.
    };

    /// Load of all organisations in a class.
    struct ClassUsage {
        DecayedRate total { usageTimeConstant };
        std::map<std::string, Usage, std::less<>> byOrganisation;
        Time prunedAt;

        [[nodiscard]] double allowance(const Usage& usage, Time now) const noexcept;
    };

    struct Entry {
        Lane lane { Lane::Any };
        std::size_t classIndex { 0 };
        bool isLate { false };
        Key key;
        Time latestStart;
        Time deadline;
        double work { 0 };
        Flows::iterator flow;
        std::map<std::string, std::size_t, std::less<>>::iterator organisation;
    };

    struct Head {
        Key key;
        bool isLate { false };
        bool hasShare { false }; ///< It is served for its minimum share.
        [[nodiscard]] auto rank() const noexcept { return std::tuple(!this->hasShare, this->isLate, this->key); }
    };

    [[nodiscard]] LaneState& laneOf(Lane lane) noexcept { return this->lanes[static_cast<std::size_t>(lane)]; }
    [[nodiscard]] const LaneState& laneOf(Lane lane) const noexcept { return this->lanes[static_cast<std::size_t>(lane)]; }
    [[nodiscard]] std::optional<double> speedOf(const LaneState& lane, Time now) const noexcept;
    [[nodiscard]] static double shortestTarget(const LaneState& lane, std::size_t classIndex, Time now) noexcept;
    [[nodiscard]] static double deferral(const LaneState& lane, std::size_t classIndex, Time now) noexcept;
    [[nodiscard]] Key keyFor(const WaitingStatement& statement, Time now) const noexcept;
    [[nodiscard]] Duration penaltyFor(const WaitingStatement& statement, Time now) const noexcept;
    void noteUsage(const WaitingStatement& statement, Time now);
    [[nodiscard]] std::optional<Duration> estimateWait(const WaitingStatement& statement, const Key& key, bool isLate, Time now) const;
    [[nodiscard]] bool hasOther(bool isMoreUrgent, const WaitingStatement& statement, Time now) const noexcept;
    [[nodiscard]] bool isFullFor(const WaitingStatement& statement, bool isLate) const noexcept;
    [[nodiscard]] std::optional<Key> headOf(Lane lane, const Group& group) const noexcept;
    [[nodiscard]] std::optional<Head> headOf(Lane lane, Time now);
    [[nodiscard]] std::optional<Key> takeLate(Lane lane, const ClassState& state, Time now);
    [[nodiscard]] std::optional<Next> toNext(const std::optional<Head>& head, Time now) const;
    void insert(const Entry& entry);
    void extract(const Entry& entry) noexcept;
    void erase(std::unordered_map<std::uint64_t, Entry>::iterator found) noexcept;
    void noteGrant(const Entry& entry, Time now) noexcept;
    void takeBackGrant(LaneState& lane, ClassState& state, double work) noexcept;
    void addCredit(double work, Time now) noexcept;

    std::size_t limit;
    std::size_t lateCount { 0 };
    std::vector<LaneState> lanes; ///< By Lane; empty until the first statement, as a daemon knows many services to which it sends none.
    std::unordered_map<std::uint64_t, Entry> entries;
    Flows flows;
    std::map<std::string, std::size_t, std::less<>> waitingByOrganisation;
    std::vector<ClassUsage> usages; ///< By class; empty like `lanes`.
    std::uint64_t pass { 1 };
};

}
