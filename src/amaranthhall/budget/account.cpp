#include "amaranthhall/budget/account.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::budget {

void Account::change(std::uint64_t before, std::uint64_t after)
{
    const bool wasNearlyFull = this->isNearlyFull();
    this->total.used = this->total.used - before + after;
    if (!wasNearlyFull && this->isNearlyFull() && this->nearlyFull)
        this->nearlyFull();
    if (after < before)
        this->giveSlots();
}

bool Account::canGive(std::size_t kind) const noexcept
{
    return !this->queues[kind].empty() && mayGiveSlot(this->total, this->slots[kind]);
}

void Account::giveSlots()
{
    if (std::exchange(this->isGiving, true))
        return;
    for (std::size_t kind = 0; kind < this->queues.size(); ++kind) {
        while (this->canGive(kind)) {
            auto& charge = *this->queues[kind].front();
            charge.give();
            charge.holder.onSlot();
        }
    }
    this->isGiving = false;
}

void Account::review(Time now, const std::function<void(Reason, std::uint64_t bytes)>& closed)
{
    std::vector<HolderState> states;
    std::vector<Holder*> observed;
    states.reserve(this->charges.size());
    observed.reserve(this->charges.size());
    for (auto* charge : this->charges) {
        states.push_back(charge->observe(now));
        observed.push_back(&charge->holder);
    }
    // Closing a connection destroys it on a later turn of the loop only, so the pointers stay valid.
    for (const auto& closure : decideClosures(this->total, states)) {
        observed[closure.holder]->shed();
        closed(closure.reason, states[closure.holder].bytes);
    }
}

Charge::Charge(Account* usedAccount, HolderKind usedKind, Holder& usedHolder)
    : account(usedAccount)
    , kind(usedKind)
    , holder(usedHolder)
{
    if (!this->account)
        return;
    this->position = this->account->charges.size();
    this->account->charges.push_back(this);
}

Charge::~Charge()
{
    if (!this->account)
        return;
    auto& charges = this->account->charges;
    charges.back()->position = this->position;
    std::swap(charges[this->position], charges.back());
    charges.pop_back();
    this->releaseSlot();
    this->set(0);
}

void Charge::set(std::uint64_t bytes)
{
    this->held = bytes;
    if (this->account)
        this->update();
}

void Charge::update()
{
    const auto before = std::exchange(this->charged, this->isGiven ? std::max(this->held, slotBytes) : this->held);
    if (before != this->charged)
        this->account->change(before, this->charged);
}

bool Charge::requestSlot()
{
    if (!this->account || this->isGiven)
        return true;
    if (this->isQueued)
        return false;
    auto& queue = this->account->queues[this->index()];
    if (queue.empty() && mayGiveSlot(this->account->total, this->account->slots[this->index()])) {
        this->give();
        return true;
    }
    this->place = queue.insert(queue.end(), this);
    this->isQueued = true;
    return false;
}

void Charge::give()
{
    if (std::exchange(this->isQueued, false))
        this->account->queues[this->index()].erase(this->place);
    this->isGiven = true;
    this->slotSeen = {};
    ++this->account->slots[this->index()];
    this->update();
}

void Charge::releaseSlot()
{
    if (!this->account)
        return;
    if (std::exchange(this->isQueued, false))
        this->account->queues[this->index()].erase(this->place);
    if (!std::exchange(this->isGiven, false))
        return;
    --this->account->slots[this->index()];
    this->update();
    this->account->giveSlots();
}

HolderState Charge::observe(Time now)
{
    const bool isUnfinished = this->holder.isUnfinished();
    const auto transferred = this->holder.transferred();
    // A holder that waits for its slot is not read, so it can't make progress.
    if (!isUnfinished || this->isQueued || transferred != this->lastTransferred) {
        this->lastTransferred = transferred;
        this->lastProgress = now;
    }
    if (this->isGiven && this->slotSeen == Time {})
        this->slotSeen = now;
    return {
        .kind = this->kind,
        .bytes = this->charged,
        .isUnfinished = isUnfinished,
        .hasUnreadReplies = this->holder.hasUnreadReplies(),
        .idle = now - this->lastProgress,
        .hasSlot = this->isGiven,
        .isAwaited = !this->account->queues[this->index()].empty(),
        .slotAge = this->isGiven ? now - this->slotSeen : Duration::zero(),
    };
}

}
