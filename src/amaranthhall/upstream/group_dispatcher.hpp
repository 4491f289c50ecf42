#pragma once

#include "amaranthhall/admission/admission.hpp"
#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/routing/route.hpp"
#include "amaranthhall/share/share_source.hpp"
#include "amaranthhall/table/rows.hpp"
#include "amaranthhall/upstream/control_task.hpp"
#include "amaranthhall/upstream/dispatch_metrics.hpp"
#include "amaranthhall/upstream/group_pulse.hpp"
#include "amaranthhall/upstream/pool.hpp"

#include <array>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::upstream {

/// @brief A request for a link that has not been granted yet.
struct WaitingWork {
    WorkRequest work;
    Dispatcher::Grant grant; ///< Empty once the work is granted, refused or withdrawn.
    Time arrivedAt;
    Duration patience { 0 }; ///< How long a read waits for a replica before the primary serves it.
};

/// @brief What waits of one service, over all its groups.
struct ServiceQueue {
    std::uint32_t waiting { 0 };
    std::uint32_t limit { 0 };
    std::uint32_t groups { 1 };
};

/// @brief What a group's dispatcher uses.
struct DispatchEnvironment {
    kernel::Loop& loop;
    Random& random;
    group::GroupSource& groups;
    ControlRunner& runner;
    DispatchMetrics& metrics;
    share::ShareSource* shares { nullptr }; ///< Null where the table's limit is the allowance.
    std::string zone;
};

/// @brief The pools of one group, and the work that waits for them.
class GroupDispatcher {
public:
    using Work = std::shared_ptr<WaitingWork>;

    GroupDispatcher(DispatchEnvironment environment, group::GroupId group, std::shared_ptr<ServiceQueue> service);
    ~GroupDispatcher();
    GroupDispatcher(const GroupDispatcher&) = delete;
    GroupDispatcher& operator=(const GroupDispatcher&) = delete;

    /// @brief Takes over the group's upstreams: pools of upstreams that are gone or have moved are retired.
    void configure(const table::TableImage& image, const LinkOptions& common);

    /// @brief Takes in new work: grants, queues or sheds it.
    void add(const Work& work);

    /// @brief Runs a control query ahead of callers' work.
    void runControl(const std::string& upstream, const std::string& query, Time deadline, ControlRunner::Done done);

    /// @brief Serves what waits, as far as links allow.
    void pump();

    /// @brief Gives work past its deadline its answer, and looks again at what waits for replication.
    void tick();

    /// @brief Takes in new allowances, terms and reach.
    void refresh();

    /// @brief Refuses all that waits.
    void refuseAll(const Refusal& refusal);

    /// @brief Tells whether work waits, so that tick() must be called.
    [[nodiscard]] bool isWaiting() const noexcept { return this->waitingWrites + this->waitingReads > 0; }

private:
    struct Member {
        table::UpstreamRow row;
        std::shared_ptr<Pool> pool;
        std::uint32_t waiting { 0 }; ///< Work that waits for a connection to it.
        bool isChosen { false }; ///< Waiting reads would use it.
        bool isPolled { false }; ///< It is being asked whether it has caught up.
    };

    struct Lane {
        admission::QueueState state;
        std::list<Work> entries;
    };

    /// @brief What became of an attempt to serve work.
    enum class Attempt : std::uint8_t {
        Granted,
        Lagging,
        Blocked,
    };

    static constexpr std::size_t mostMembers = 16;

    [[nodiscard]] Member* findMember(const std::string& name) noexcept;
    [[nodiscard]] std::shared_ptr<Pool> makePool(const table::UpstreamRow& row, const LinkOptions& options);
    [[nodiscard]] std::uint32_t allowanceOf(const Member& member) const;
    void noteReach(const group::GroupView* view);
    [[nodiscard]] Lane& laneOf(const WaitingWork& work) noexcept;
    [[nodiscard]] routing::RouteDecision decide(const WaitingWork& work);
    Attempt attempt(WaitingWork& work, bool isFirst);
    void choose(const routing::RouteDecision& decision, bool isRead);
    void grantFrom(WaitingWork& work, const group::GroupView& view, const group::UpstreamView& upstream);
    void enqueue(const Work& work);
    void remove(Lane& lane, std::list<Work>::iterator entry, bool isGranted);
    void awaitBarrier(const Work& work);
    void pumpControls();
    void pumpLane(Lane& lane);
    void expire(Lane& lane, Time now);
    void refuse(WaitingWork& work, Refusal refusal);
    [[nodiscard]] Refusal explainTimeout(const WaitingWork& work);
    void pollLagging();
    void demand();
    [[nodiscard]] std::uint32_t countWaiting(const Member& member) const;
    void reportUse(const Member& member) const;
    void noteAvailable();

    DispatchEnvironment environment;
    group::GroupId group;
    std::shared_ptr<ServiceQueue> service;
    std::vector<Member> members;
    std::array<routing::Candidate, mostMembers> candidates;
    std::size_t candidateCount { 0 };
    Lane writes;
    Lane reads;
    std::list<Work> barriers;
    std::size_t waitingWrites { 0 };
    std::size_t waitingReads { 0 };
    bool isLagging { false };
    bool isPumpPosted { false };
    bool hasDemand { false };
    group::Term term { 0 };
    std::string primary;
    GroupPulse pulse;
    std::list<std::shared_ptr<internal::ControlTask>> controls;
    std::shared_ptr<bool> alive;
};

}
