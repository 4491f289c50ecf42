#include "amaranthhall/share/dealer.hpp"

#include "amaranthhall/membership/role_holders.hpp"

#include <algorithm>

namespace amaranthhall::share {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view dealerRole = "shares/dealer";
    constexpr std::string_view grantorRole = "shares/grantor";
    constexpr std::size_t mostGrantors = 5;
    constexpr auto surveyTime = 400ms;
    constexpr auto orderTimeout = 500ms;
    constexpr auto retryInterval = 600ms;
    constexpr auto claimLimit = 3s;
    constexpr auto releaseLimit = 15s; // after this a further loss or edit begins a new dealing
    constexpr auto pauseAfterFailure = 1s;
    constexpr auto pauseAfterDealing = 1s;
    constexpr auto refreshInterval = 30s; // share lost with messages is dealt again after this

    bool isAlive(std::span<const membership::Member> members, const std::string& vm)
    {
        return std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.id == vm; });
    }

    bool hasLost(std::span<const Process> processes, std::span<const membership::Member> members)
    {
        return std::any_of(processes.begin(), processes.end(), [&](const auto& process) { return !isAlive(members, process.vm); });
    }

    /// The daemon may have moved to another port; whoever answers there tells which process it is.
    kernel::Address findAddress(const DealerView& view, const Process& process)
    {
        for (const auto& member : view.members) {
            if (member.id == process.vm)
                return member.peer;
        }
        return process.address;
    }

    void sendOrder(Dealer& dealer, const Process& to, const kernel::Address& address, Request request, std::uint64_t& nextSend, Actions& actions)
    {
        const auto id = nextSend++;
        dealer.sends.emplace(id, std::pair(request, to));
        actions.emplace_back(Send { .id = id, .to = address, .request = std::move(request), .timeout = orderTimeout });
    }

    void abandon(Dealer& dealer, Time now)
    {
        dealer.phase = DealPhase::Idle;
        dealer.nextStart = now + pauseAfterFailure;
        dealer.sends.clear();
    }

    /// Gives the grantors of the new epoch: an odd number, of VMs that the platform lists.
    std::vector<Process> chooseGrantors(const Dealer& dealer)
    {
        std::vector<Process> grantors;
        for (const auto& process : dealer.surveyed) {
            if (dealer.listedVms->contains(process.vm))
                grantors.push_back(process);
        }
        if (!grantors.empty() && grantors.size() % 2 == 0)
            grantors.pop_back();
        return grantors;
    }

    EpochRecord makeRecord(const Dealer& dealer, const Counts& limits)
    {
        EpochRecord record { .current = { .epoch = 1, .grantors = chooseGrantors(dealer), .limits = limits }, .dealer = dealer.self };
        if (dealer.stored) {
            record.current.epoch = dealer.stored->current.epoch + 1;
            record.earlier = dealer.stored->earlier;
            record.earlier.push_back(dealer.stored->current);
        }
        return record;
    }

    void claim(Dealer& dealer, const DealerView& view, Actions& actions)
    {
        if (!dealer.recordRead || !dealer.listedVms || chooseGrantors(dealer).empty()) {
            abandon(dealer, view.now);
            return;
        }
        dealer.record = makeRecord(dealer, view.limits);
        dealer.phase = DealPhase::Claim;
        dealer.deadline = view.now + claimLimit;
        dealer.nextRetry = view.now + retryInterval;
        dealer.ownVersion = dealer.storedVersion;
        actions.emplace_back(WriteRecord { .record = dealer.record, .expectedVersion = dealer.ownVersion });
    }

    bool isClosed(const Dealer& dealer, const EpochMembers& epoch)
    {
        const auto found = dealer.closed.find(epoch.epoch);
        const auto count = found == dealer.closed.end() ? 0 : found->second.size();
        return count > epoch.grantors.size() / 2;
    }

    void closeEarlier(Dealer& dealer, const DealerView& view, std::uint64_t& nextSend, Actions& actions)
    {
        for (const auto& epoch : dealer.record.earlier) {
            for (const auto& grantor : epoch.grantors) {
                if (dealer.closed[epoch.epoch].contains(grantor.vm))
                    continue;
                sendOrder(dealer, grantor, findAddress(view, grantor), Close { .before = dealer.record.current.epoch, .grantorStarted = grantor.started }, nextSend, actions);
            }
        }
        actions.emplace_back(ReadVms {});
    }

    /// A VM is listed before it becomes a grantor, so one that is listed no more has gone.
    void closeUnlisted(Dealer& dealer)
    {
        if (!dealer.listedVms)
            return;
        for (const auto& epoch : dealer.record.earlier) {
            for (const auto& grantor : epoch.grantors) {
                if (!dealer.listedVms->contains(grantor.vm))
                    dealer.closed[epoch.epoch].insert(grantor.vm);
            }
        }
    }

    void moveHolders(Dealer& dealer, std::uint64_t& nextSend, Actions& actions)
    {
        for (const auto& holder : dealer.holders) {
            const auto taken = dealer.taken.find(holder);
            if (taken == dealer.taken.end())
                sendOrder(dealer, holder, holder.address, Move { .into = dealer.record.current.epoch, .holderStarted = holder.started }, nextSend, actions);
            else if (!dealer.opened.contains(holder))
                sendOrder(dealer, holder, holder.address, Open { .record = dealer.record, .holderStarted = holder.started, .counts = taken->second }, nextSend, actions);
        }
    }

    /// Cuts what a holder takes along if the limit has shrunk, each by the same part.
    Counts limitCounts(const Dealer& dealer, const Counts& counts)
    {
        Counts limited;
        for (const auto& [id, count] : counts) {
            std::uint32_t before = 0;
            for (const auto& epoch : dealer.record.earlier) {
                const auto limit = epoch.limits.find(id);
                if (limit != epoch.limits.end())
                    before = std::max(before, usablePart(dealer.options, limit->second));
            }
            const auto limit = dealer.record.current.limits.find(id);
            const auto after = limit == dealer.record.current.limits.end() ? 0 : usablePart(dealer.options, limit->second);
            limited[id] = before <= after ? count : static_cast<std::uint32_t>(static_cast<std::uint64_t>(count) * after / before);
        }
        return limited;
    }

    bool allTakenOver(const Dealer& dealer)
    {
        return std::all_of(dealer.holders.begin(), dealer.holders.end(), [&](const auto& holder) { return dealer.opened.contains(holder); });
    }

    void beginRelease(Dealer& dealer, Time now)
    {
        dealer.phase = DealPhase::Release;
        dealer.releasedAt = now;
        dealer.deadline = now + releaseLimit;
        dealer.nextRetry = now;
        for (const auto& holder : dealer.holders) {
            if (dealer.taken.contains(holder))
                continue;
            for (const auto& [id, limit] : dealer.record.current.limits)
                dealer.unreleased.emplace(holder.vm, id);
        }
    }

    bool isReleased(const Dealer& dealer, const group::UpstreamId& id)
    {
        return std::none_of(dealer.unreleased.begin(), dealer.unreleased.end(), [&](const auto& waiting) { return waiting.second == id; });
    }

    void dealUpstream(Dealer& dealer, const group::UpstreamId& id, std::uint32_t limit, Ledger& ledger)
    {
        std::uint32_t total = 0;
        for (const auto& [holder, counts] : dealer.taken) {
            const auto count = counts.find(id);
            total += count == counts.end() ? 0 : count->second;
        }
        const auto usable = usablePart(dealer.options, limit);
        ledger.holdings[id].tokens += usable > total ? usable - total : 0;
        dealer.dealt.insert(id);
    }

    /// Deals what is free. The proof must be newer than the wait: a later dealer may have taken over a holder meanwhile.
    void dealFree(Dealer& dealer, Ledger& ledger, Time now)
    {
        const auto isProved = ledger.proof >= dealer.releasedAt && isLeaseValid(ledger, now);
        if (!isProved || ledger.frozen || ledger.epoch.epoch != dealer.record.current.epoch)
            return;
        for (const auto& [id, limit] : dealer.record.current.limits) {
            if (!dealer.dealt.contains(id) && isReleased(dealer, id))
                dealUpstream(dealer, id, limit, ledger);
        }
    }

    void settle(Dealer& dealer, const DealerView& view, Actions& actions)
    {
        dealer.phase = DealPhase::Settle;
        dealer.deadline = view.now + claimLimit;
        dealer.nextRetry = view.now + retryInterval;
        dealer.record.settled = true;
        dealer.record.earlier.clear();
        for (const auto& [holder, counts] : dealer.taken)
            dealer.record.current.holders.push_back(holder);
        actions.emplace_back(WriteRecord { .record = dealer.record, .expectedVersion = dealer.ownVersion });
    }

    void repeatWrite(Dealer& dealer, const DealerView& view, Actions& actions)
    {
        if (view.now >= dealer.deadline) {
            abandon(dealer, view.now);
            return;
        }
        if (view.now < dealer.nextRetry)
            return;
        dealer.nextRetry = view.now + retryInterval;
        actions.emplace_back(ReadRecord {});
        actions.emplace_back(WriteRecord { .record = dealer.record, .expectedVersion = dealer.ownVersion });
    }

    void continueRelease(Dealer& dealer, const DealerView& view, Ledger& ledger, Actions& actions)
    {
        dealFree(dealer, ledger, view.now);
        if (dealer.dealt.size() == dealer.record.current.limits.size()) {
            settle(dealer, view, actions);
            return;
        }
        const auto isOutdated = dealer.record.current.limits != view.limits || hasLost(dealer.record.current.grantors, view.members);
        if (view.now >= dealer.deadline && isOutdated)
            abandon(dealer, view.now);
        if (view.now < dealer.nextRetry)
            return;
        dealer.nextRetry = view.now + retryInterval;
        for (const auto& [vm, id] : dealer.unreleased)
            actions.emplace_back(Release { .vm = vm, .upstream = id });
    }

    void receiveClosed(Dealer& dealer, const Process& grantor, const Closed& closed)
    {
        for (const auto& epoch : dealer.record.earlier) {
            if (std::find(epoch.grantors.begin(), epoch.grantors.end(), grantor) != epoch.grantors.end())
                dealer.closed[epoch.epoch].insert(grantor.vm);
        }
        dealer.holders.insert(closed.holders.begin(), closed.holders.end());
    }

    void beginMove(Dealer& dealer, const DealerView& view)
    {
        dealer.phase = DealPhase::Move;
        dealer.deadline = view.now + dealer.options.lease + dealer.options.lapseMargin;
        dealer.nextRetry = view.now;
        for (const auto& epoch : dealer.record.earlier)
            dealer.holders.insert(epoch.holders.begin(), epoch.holders.end());
    }

}

bool isDealingDue(Dealer& dealer, const DealerView& view)
{
    for (const auto& member : view.members)
        dealer.seen.insert(member.id);
    if (dealer.phase != DealPhase::Idle || view.now < dealer.nextStart || view.limits.empty())
        return false;
    const auto chosen = membership::chooseRoleHolders(view.members, dealerRole, 1);
    if (chosen.empty() || chosen.front()->id != dealer.self.vm)
        return false;
    if (!dealer.stored || !dealer.stored->settled || dealer.stored->current.limits != view.limits || dealer.seen.size() > view.members.size())
        return true;
    const auto& current = dealer.stored->current;
    return hasLost(current.grantors, view.members) || hasLost(current.holders, view.members) || view.now >= dealer.nextStart + refreshInterval;
}

void beginDealing(Dealer& dealer, const DealerView& view, std::uint64_t& nextSend, Actions& actions)
{
    dealer.phase = DealPhase::Survey;
    dealer.deadline = view.now + surveyTime;
    dealer.recordRead = false;
    dealer.listedVms.reset();
    dealer.surveyed.clear();
    dealer.closed.clear();
    dealer.holders.clear();
    dealer.taken.clear();
    dealer.opened.clear();
    dealer.unreleased.clear();
    dealer.dealt.clear();
    dealer.sends.clear();
    dealer.seen.clear();
    actions.emplace_back(ReadRecord {});
    actions.emplace_back(ReadVms {});
    for (const auto* member : membership::chooseRoleHolders(view.members, grantorRole, mostGrantors))
        sendOrder(dealer, { .vm = member->id }, member->peer, Learn {}, nextSend, actions);
}

void continueDealing(Dealer& dealer, const DealerView& view, Ledger& ledger, Actions& actions)
{
    const auto isRetryDue = view.now >= dealer.nextRetry;
    switch (dealer.phase) {
    case DealPhase::Idle:
        return;
    case DealPhase::Survey:
        if (view.now >= dealer.deadline || (dealer.recordRead && dealer.listedVms && dealer.sends.empty()))
            claim(dealer, view, actions);
        return;
    case DealPhase::Claim:
    case DealPhase::Settle:
        repeatWrite(dealer, view, actions);
        return;
    case DealPhase::Close:
        closeUnlisted(dealer);
        if (std::all_of(dealer.record.earlier.begin(), dealer.record.earlier.end(), [&](const auto& epoch) { return isClosed(dealer, epoch); })) {
            beginMove(dealer, view);
            continueDealing(dealer, view, ledger, actions);
            return;
        }
        if (isRetryDue) {
            dealer.nextRetry = view.now + retryInterval;
            closeEarlier(dealer, view, ledger.nextSend, actions);
        }
        return;
    case DealPhase::Move:
        if (allTakenOver(dealer) || view.now >= dealer.deadline) {
            beginRelease(dealer, view.now);
            return;
        }
        if (isRetryDue) {
            dealer.nextRetry = view.now + retryInterval;
            moveHolders(dealer, ledger.nextSend, actions);
        }
        return;
    case DealPhase::Release:
        continueRelease(dealer, view, ledger, actions);
        return;
    }
}

bool receiveDealerAnswer(Dealer& dealer, std::uint64_t id, const std::optional<Response>& response, const DealerView& view, std::uint64_t& nextSend, Actions& actions)
{
    const auto found = dealer.sends.find(id);
    if (found == dealer.sends.end())
        return false;
    const auto [request, from] = std::move(found->second);
    dealer.sends.erase(found);
    if (!response)
        return true;
    if (const auto* learned = std::get_if<Learned>(&*response); learned && dealer.phase == DealPhase::Survey)
        dealer.surveyed.push_back(learned->self);
    if (const auto* closed = std::get_if<Closed>(&*response); closed && dealer.phase == DealPhase::Close)
        receiveClosed(dealer, from, *closed);
    const auto* moved = std::get_if<Moved>(&*response);
    if (moved && moved->held && dealer.phase == DealPhase::Move && view.now < dealer.deadline && !dealer.taken.contains(from)) {
        const auto& counts = dealer.taken[from] = limitCounts(dealer, moved->counts);
        sendOrder(dealer, from, from.address, Open { .record = dealer.record, .holderStarted = from.started, .counts = counts }, nextSend, actions);
    }
    if (std::holds_alternative<Opened>(*response))
        dealer.opened.insert(from);
    return true;
}

void receiveRecord(Dealer& dealer, std::uint64_t version, const std::optional<EpochRecord>& record)
{
    if (version < dealer.storedVersion)
        return;
    dealer.stored = record;
    dealer.storedVersion = version;
    dealer.recordRead = true;
    if (dealer.phase == DealPhase::Idle || dealer.phase == DealPhase::Survey)
        return;
    const auto isOwn = record && record->current.epoch == dealer.record.current.epoch && record->dealer == dealer.self;
    if (!isOwn) {
        // A later dealer has begun; it deals what this one has not.
        if (version != dealer.ownVersion)
            dealer.phase = DealPhase::Idle;
        return;
    }
    dealer.ownVersion = version;
    if (dealer.phase == DealPhase::Claim)
        dealer.phase = DealPhase::Close;
    if (dealer.phase == DealPhase::Settle && record->settled)
        dealer.phase = DealPhase::Idle;
}

void receiveWritten(Dealer& dealer, WriteOutcome outcome, std::uint64_t version, Time now)
{
    // After a conflict or a lost answer the row tells whether an earlier attempt took effect; it is read until the deadline.
    if (outcome != WriteOutcome::Written || version <= dealer.ownVersion || (dealer.phase != DealPhase::Claim && dealer.phase != DealPhase::Settle))
        return;
    dealer.stored = dealer.record;
    dealer.storedVersion = version;
    dealer.ownVersion = version;
    dealer.nextRetry = now;
    dealer.nextStart = now + pauseAfterDealing;
    dealer.phase = dealer.phase == DealPhase::Claim ? DealPhase::Close : DealPhase::Idle;
}

void receiveReleased(Dealer& dealer, const std::string& vm, const group::UpstreamId& upstream)
{
    dealer.unreleased.erase({ vm, upstream });
}

}
