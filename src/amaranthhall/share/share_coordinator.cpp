#include "amaranthhall/share/share_coordinator.hpp"

#include "amaranthhall/membership/role_holders.hpp"

#include <algorithm>

namespace amaranthhall::share {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view coordinatorRole = "shares/dealer";
    constexpr std::string_view grantorRole = "shares/grantor";
    constexpr std::size_t maximumGrantors = 5;
    constexpr auto discoveryTimeout = 400ms;
    constexpr auto requestTimeout = 500ms;
    constexpr auto retryInterval = 600ms;
    constexpr auto writeTimeout = 3s;
    constexpr auto releaseTimeout = 15s; // after this, the loss of a grantor or a limit change begins a new reallocation
    constexpr auto failureBackoff = 1s;
    constexpr auto minimumReallocationInterval = 1s;
    constexpr auto refreshInterval = 30s; // share that was lost with dropped messages is reallocated after this

    bool isMember(std::span<const membership::Member> members, const std::string& vm)
    {
        return std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.id == vm; });
    }

    bool hasDepartedMember(std::span<const Process> processes, std::span<const membership::Member> members)
    {
        return std::any_of(processes.begin(), processes.end(), [&](const auto& process) { return !isMember(members, process.vm); });
    }

    /// Returns the peer's current address, as the daemon may have moved to another port. The response tells which process answered.
    kernel::Address findAddress(const CoordinatorView& view, const Process& process)
    {
        for (const auto& member : view.members) {
            if (member.id == process.vm)
                return member.peer;
        }
        return process.address;
    }

    void sendRequest(ShareCoordinator& coordinator, const Process& to, const kernel::Address& address, Request request, std::uint64_t& nextRequestId, Actions& actions)
    {
        const auto id = nextRequestId++;
        coordinator.pendingRequests.emplace(id, std::pair(request, to));
        actions.emplace_back(SendRequest { .id = id, .to = address, .request = std::move(request), .timeout = requestTimeout });
    }

    void abandon(ShareCoordinator& coordinator, Time now)
    {
        coordinator.phase = ReallocationPhase::Idle;
        coordinator.earliestStart = now + failureBackoff;
        coordinator.pendingRequests.clear();
    }

    /// Returns the grantors of the new epoch: an odd number of the discovered processes, on VMs that the platform lists.
    std::vector<Process> chooseGrantors(const ShareCoordinator& coordinator)
    {
        std::vector<Process> grantors;
        for (const auto& process : coordinator.grantorCandidates) {
            if (coordinator.listedVms->contains(process.vm))
                grantors.push_back(process);
        }
        if (!grantors.empty() && grantors.size() % 2 == 0)
            grantors.pop_back();
        return grantors;
    }

    EpochRecord makeRecord(const ShareCoordinator& coordinator, const ConnectionCounts& limits)
    {
        EpochRecord record { .current = { .epoch = 1, .grantors = chooseGrantors(coordinator), .limits = limits }, .coordinator = coordinator.self };
        if (coordinator.storedRecord) {
            record.current.epoch = coordinator.storedRecord->current.epoch + 1;
            record.earlierEpochs = coordinator.storedRecord->earlierEpochs;
            record.earlierEpochs.push_back(coordinator.storedRecord->current);
        }
        return record;
    }

    void claimEpoch(ShareCoordinator& coordinator, const CoordinatorView& view, Actions& actions)
    {
        if (!coordinator.isRecordRead || !coordinator.listedVms || chooseGrantors(coordinator).empty()) {
            abandon(coordinator, view.now);
            return;
        }
        coordinator.record = makeRecord(coordinator, view.limits);
        coordinator.phase = ReallocationPhase::Claim;
        coordinator.deadline = view.now + writeTimeout;
        coordinator.nextRetry = view.now + retryInterval;
        coordinator.baseVersion = coordinator.storedVersion;
        actions.emplace_back(WriteRecord { .record = coordinator.record, .expectedVersion = coordinator.baseVersion });
    }

    bool isClosed(const ShareCoordinator& coordinator, const EpochConfiguration& epoch)
    {
        const auto found = coordinator.closedGrantors.find(epoch.epoch);
        const auto count = found == coordinator.closedGrantors.end() ? 0 : found->second.size();
        return count > epoch.grantors.size() / 2;
    }

    void closeEarlierEpochs(ShareCoordinator& coordinator, const CoordinatorView& view, std::uint64_t& nextRequestId, Actions& actions)
    {
        for (const auto& epoch : coordinator.record.earlierEpochs) {
            for (const auto& grantor : epoch.grantors) {
                if (coordinator.closedGrantors[epoch.epoch].contains(grantor.vm))
                    continue;
                sendRequest(coordinator, grantor, findAddress(view, grantor), CloseRequest { .beforeEpoch = coordinator.record.current.epoch, .grantorStartTime = grantor.startTime }, nextRequestId, actions);
            }
        }
        actions.emplace_back(ListVms {});
    }

    /// Treats unlisted grantors as closed. A VM is listed before it becomes a grantor, so one that is no longer listed has been removed.
    void closeUnlistedGrantors(ShareCoordinator& coordinator)
    {
        if (!coordinator.listedVms)
            return;
        for (const auto& epoch : coordinator.record.earlierEpochs) {
            for (const auto& grantor : epoch.grantors) {
                if (!coordinator.listedVms->contains(grantor.vm))
                    coordinator.closedGrantors[epoch.epoch].insert(grantor.vm);
            }
        }
    }

    void migrateHolders(ShareCoordinator& coordinator, std::uint64_t& nextRequestId, Actions& actions)
    {
        for (const auto& holder : coordinator.holders) {
            const auto migrated = coordinator.migrated.find(holder);
            if (migrated == coordinator.migrated.end())
                sendRequest(coordinator, holder, holder.address, MoveRequest { .newEpoch = coordinator.record.current.epoch, .holderStartTime = holder.startTime }, nextRequestId, actions);
            else if (!coordinator.openedHolders.contains(holder))
                sendRequest(coordinator, holder, holder.address, OpenRequest { .record = coordinator.record, .holderStartTime = holder.startTime, .counts = migrated->second }, nextRequestId, actions);
        }
    }

    /// Scales a holder's tokens down in proportion if the limit has decreased.
    ConnectionCounts scaleCounts(const ShareCoordinator& coordinator, const ConnectionCounts& counts)
    {
        ConnectionCounts scaled;
        for (const auto& [id, count] : counts) {
            std::uint32_t previousLimit = 0;
            for (const auto& epoch : coordinator.record.earlierEpochs) {
                const auto limit = epoch.limits.find(id);
                if (limit != epoch.limits.end())
                    previousLimit = std::max(previousLimit, usableLimit(coordinator.options, limit->second));
            }
            const auto limit = coordinator.record.current.limits.find(id);
            const auto newLimit = limit == coordinator.record.current.limits.end() ? 0 : usableLimit(coordinator.options, limit->second);
            scaled[id] = previousLimit <= newLimit ? count : static_cast<std::uint32_t>(static_cast<std::uint64_t>(count) * newLimit / previousLimit);
        }
        return scaled;
    }

    bool areAllHoldersMigrated(const ShareCoordinator& coordinator)
    {
        return std::all_of(coordinator.holders.begin(), coordinator.holders.end(), [&](const auto& holder) { return coordinator.openedHolders.contains(holder); });
    }

    void beginRelease(ShareCoordinator& coordinator, Time now)
    {
        coordinator.phase = ReallocationPhase::Release;
        coordinator.releaseStartedAt = now;
        coordinator.deadline = now + releaseTimeout;
        coordinator.nextRetry = now;
        for (const auto& holder : coordinator.holders) {
            if (coordinator.migrated.contains(holder))
                continue;
            for (const auto& [id, limit] : coordinator.record.current.limits)
                coordinator.pendingReleases.emplace(holder.vm, id);
        }
    }

    bool isReleased(const ShareCoordinator& coordinator, const group::UpstreamId& id)
    {
        return std::none_of(coordinator.pendingReleases.begin(), coordinator.pendingReleases.end(), [&](const auto& pending) { return pending.second == id; });
    }

    void allocateUpstream(ShareCoordinator& coordinator, const group::UpstreamId& id, std::uint32_t limit, Ledger& ledger)
    {
        std::uint32_t total = 0;
        for (const auto& [holder, counts] : coordinator.migrated) {
            const auto count = counts.find(id);
            total += count == counts.end() ? 0 : count->second;
        }
        const auto usable = usableLimit(coordinator.options, limit);
        ledger.holdings[id].tokens += usable > total ? usable - total : 0;
        coordinator.allocatedUpstreams.insert(id);
    }

    /// Allocates free share to this daemon. The epoch must have been confirmed after the wait for leases: a later coordinator may have migrated a holder in the meantime.
    void allocateFreeShare(ShareCoordinator& coordinator, Ledger& ledger, Time now)
    {
        const auto isConfirmed = ledger.confirmedAt >= coordinator.releaseStartedAt && isLeaseValid(ledger, now);
        if (!isConfirmed || ledger.frozen || ledger.epoch.epoch != coordinator.record.current.epoch)
            return;
        for (const auto& [id, limit] : coordinator.record.current.limits) {
            if (!coordinator.allocatedUpstreams.contains(id) && isReleased(coordinator, id))
                allocateUpstream(coordinator, id, limit, ledger);
        }
    }

    void settle(ShareCoordinator& coordinator, const CoordinatorView& view, Actions& actions)
    {
        coordinator.phase = ReallocationPhase::Settle;
        coordinator.deadline = view.now + writeTimeout;
        coordinator.nextRetry = view.now + retryInterval;
        coordinator.record.settled = true;
        coordinator.record.earlierEpochs.clear();
        for (const auto& [holder, counts] : coordinator.migrated)
            coordinator.record.current.holders.push_back(holder);
        actions.emplace_back(WriteRecord { .record = coordinator.record, .expectedVersion = coordinator.baseVersion });
    }

    void retryWrite(ShareCoordinator& coordinator, const CoordinatorView& view, Actions& actions)
    {
        if (view.now >= coordinator.deadline) {
            abandon(coordinator, view.now);
            return;
        }
        if (view.now < coordinator.nextRetry)
            return;
        coordinator.nextRetry = view.now + retryInterval;
        actions.emplace_back(ReadRecord {});
        actions.emplace_back(WriteRecord { .record = coordinator.record, .expectedVersion = coordinator.baseVersion });
    }

    void continueRelease(ShareCoordinator& coordinator, const CoordinatorView& view, Ledger& ledger, Actions& actions)
    {
        allocateFreeShare(coordinator, ledger, view.now);
        if (coordinator.allocatedUpstreams.size() == coordinator.record.current.limits.size()) {
            settle(coordinator, view, actions);
            return;
        }
        const auto isOutdated = coordinator.record.current.limits != view.limits || hasDepartedMember(coordinator.record.current.grantors, view.members);
        if (view.now >= coordinator.deadline && isOutdated)
            abandon(coordinator, view.now);
        if (view.now < coordinator.nextRetry)
            return;
        coordinator.nextRetry = view.now + retryInterval;
        for (const auto& [vm, id] : coordinator.pendingReleases)
            actions.emplace_back(ReleaseConnections { .vm = vm, .upstream = id });
    }

    void receiveCloseResponse(ShareCoordinator& coordinator, const Process& grantor, const CloseResponse& closeResponse)
    {
        for (const auto& epoch : coordinator.record.earlierEpochs) {
            if (std::find(epoch.grantors.begin(), epoch.grantors.end(), grantor) != epoch.grantors.end())
                coordinator.closedGrantors[epoch.epoch].insert(grantor.vm);
        }
        coordinator.holders.insert(closeResponse.holders.begin(), closeResponse.holders.end());
    }

    void beginMigration(ShareCoordinator& coordinator, const CoordinatorView& view)
    {
        coordinator.phase = ReallocationPhase::Migration;
        coordinator.deadline = view.now + coordinator.options.leaseDuration + coordinator.options.expiryMargin;
        coordinator.nextRetry = view.now;
        for (const auto& epoch : coordinator.record.earlierEpochs)
            coordinator.holders.insert(epoch.holders.begin(), epoch.holders.end());
    }

}

bool isReallocationDue(ShareCoordinator& coordinator, const CoordinatorView& view)
{
    for (const auto& member : view.members)
        coordinator.seenVms.insert(member.id);
    if (coordinator.phase != ReallocationPhase::Idle || view.now < coordinator.earliestStart || view.limits.empty())
        return false;
    const auto elected = membership::chooseRoleHolders(view.members, coordinatorRole, 1);
    if (elected.empty() || elected.front()->id != coordinator.self.vm)
        return false;
    if (!coordinator.storedRecord || !coordinator.storedRecord->settled || coordinator.storedRecord->current.limits != view.limits || coordinator.seenVms.size() > view.members.size())
        return true;
    const auto& current = coordinator.storedRecord->current;
    return hasDepartedMember(current.grantors, view.members) || hasDepartedMember(current.holders, view.members) || view.now >= coordinator.earliestStart + refreshInterval;
}

void beginReallocation(ShareCoordinator& coordinator, const CoordinatorView& view, std::uint64_t& nextRequestId, Actions& actions)
{
    coordinator.phase = ReallocationPhase::Discovery;
    coordinator.deadline = view.now + discoveryTimeout;
    coordinator.isRecordRead = false;
    coordinator.listedVms.reset();
    coordinator.grantorCandidates.clear();
    coordinator.closedGrantors.clear();
    coordinator.holders.clear();
    coordinator.migrated.clear();
    coordinator.openedHolders.clear();
    coordinator.pendingReleases.clear();
    coordinator.allocatedUpstreams.clear();
    coordinator.pendingRequests.clear();
    coordinator.seenVms.clear();
    actions.emplace_back(ReadRecord {});
    actions.emplace_back(ListVms {});
    for (const auto* member : membership::chooseRoleHolders(view.members, grantorRole, maximumGrantors))
        sendRequest(coordinator, { .vm = member->id }, member->peer, LearnRequest {}, nextRequestId, actions);
}

void continueReallocation(ShareCoordinator& coordinator, const CoordinatorView& view, Ledger& ledger, Actions& actions)
{
    const auto isRetryDue = view.now >= coordinator.nextRetry;
    switch (coordinator.phase) {
    case ReallocationPhase::Idle:
        return;
    case ReallocationPhase::Discovery:
        if (view.now >= coordinator.deadline || (coordinator.isRecordRead && coordinator.listedVms && coordinator.pendingRequests.empty()))
            claimEpoch(coordinator, view, actions);
        return;
    case ReallocationPhase::Claim:
    case ReallocationPhase::Settle:
        retryWrite(coordinator, view, actions);
        return;
    case ReallocationPhase::Close:
        closeUnlistedGrantors(coordinator);
        if (std::all_of(coordinator.record.earlierEpochs.begin(), coordinator.record.earlierEpochs.end(), [&](const auto& epoch) { return isClosed(coordinator, epoch); })) {
            beginMigration(coordinator, view);
            continueReallocation(coordinator, view, ledger, actions);
            return;
        }
        if (isRetryDue) {
            coordinator.nextRetry = view.now + retryInterval;
            closeEarlierEpochs(coordinator, view, ledger.nextRequestId, actions);
        }
        return;
    case ReallocationPhase::Migration:
        if (areAllHoldersMigrated(coordinator) || view.now >= coordinator.deadline) {
            beginRelease(coordinator, view.now);
            return;
        }
        if (isRetryDue) {
            coordinator.nextRetry = view.now + retryInterval;
            migrateHolders(coordinator, ledger.nextRequestId, actions);
        }
        return;
    case ReallocationPhase::Release:
        continueRelease(coordinator, view, ledger, actions);
        return;
    }
}

bool receiveCoordinatorResponse(ShareCoordinator& coordinator, std::uint64_t id, const std::optional<Response>& response, const CoordinatorView& view, std::uint64_t& nextRequestId, Actions& actions)
{
    const auto found = coordinator.pendingRequests.find(id);
    if (found == coordinator.pendingRequests.end())
        return false;
    const auto [request, from] = std::move(found->second);
    coordinator.pendingRequests.erase(found);
    if (!response)
        return true;
    if (const auto* learnResponse = std::get_if<LearnResponse>(&*response); learnResponse && coordinator.phase == ReallocationPhase::Discovery)
        coordinator.grantorCandidates.push_back(learnResponse->self);
    if (const auto* closeResponse = std::get_if<CloseResponse>(&*response); closeResponse && coordinator.phase == ReallocationPhase::Close)
        receiveCloseResponse(coordinator, from, *closeResponse);
    const auto* moveResponse = std::get_if<MoveResponse>(&*response);
    if (moveResponse && moveResponse->leaseValid && coordinator.phase == ReallocationPhase::Migration && view.now < coordinator.deadline && !coordinator.migrated.contains(from)) {
        const auto& counts = coordinator.migrated[from] = scaleCounts(coordinator, moveResponse->counts);
        sendRequest(coordinator, from, from.address, OpenRequest { .record = coordinator.record, .holderStartTime = from.startTime, .counts = counts }, nextRequestId, actions);
    }
    if (std::holds_alternative<OpenResponse>(*response))
        coordinator.openedHolders.insert(from);
    return true;
}

void receiveRecord(ShareCoordinator& coordinator, std::uint64_t version, const std::optional<EpochRecord>& record)
{
    if (version < coordinator.storedVersion)
        return;
    coordinator.storedRecord = record;
    coordinator.storedVersion = version;
    coordinator.isRecordRead = true;
    if (coordinator.phase == ReallocationPhase::Idle || coordinator.phase == ReallocationPhase::Discovery)
        return;
    const auto isOwnRecord = record && record->current.epoch == coordinator.record.current.epoch && record->coordinator == coordinator.self;
    if (!isOwnRecord) {
        // A later coordinator has begun and allocates what this one has not.
        if (version != coordinator.baseVersion)
            coordinator.phase = ReallocationPhase::Idle;
        return;
    }
    coordinator.baseVersion = version;
    if (coordinator.phase == ReallocationPhase::Claim)
        coordinator.phase = ReallocationPhase::Close;
    if (coordinator.phase == ReallocationPhase::Settle && record->settled)
        coordinator.phase = ReallocationPhase::Idle;
}

void receiveWriteResult(ShareCoordinator& coordinator, WriteOutcome outcome, std::uint64_t version, Time now)
{
    // After a conflict or a lost response, the row shows whether an earlier attempt took effect. It is read again until the deadline.
    if (outcome != WriteOutcome::Written || version <= coordinator.baseVersion || (coordinator.phase != ReallocationPhase::Claim && coordinator.phase != ReallocationPhase::Settle))
        return;
    coordinator.storedRecord = coordinator.record;
    coordinator.storedVersion = version;
    coordinator.baseVersion = version;
    coordinator.nextRetry = now;
    coordinator.earliestStart = now + minimumReallocationInterval;
    coordinator.phase = coordinator.phase == ReallocationPhase::Claim ? ReallocationPhase::Close : ReallocationPhase::Idle;
}

void receiveReleaseConfirmation(ShareCoordinator& coordinator, const std::string& vm, const group::UpstreamId& upstream)
{
    coordinator.pendingReleases.erase({ vm, upstream });
}

}
