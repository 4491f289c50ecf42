#include "amaranthhall/membership/failure_detector.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"

#include <algorithm>
#include <bit>
#include <iterator>

namespace amaranthhall::membership {

namespace {

    constexpr std::size_t spreadFactor = 3; // times the logarithm of the number of members
    constexpr int pausedIntervals = 4; // a longer gap between ticks means that this daemon was paused

    /// A state overrides a lower one of the same incarnation.
    int rankState(MemberState state) noexcept
    {
        switch (state) {
        case MemberState::Live:
            return 0;
        case MemberState::Leaving:
            return 1;
        case MemberState::Suspected:
            return 2;
        case MemberState::Dead:
            return 3;
        }
        return 0;
    }

    bool overrides(const Member& told, const Member& known) noexcept
    {
        if (told.incarnation != known.incarnation)
            return told.incarnation > known.incarnation;
        return rankState(told.state) > rankState(known.state);
    }

    void setEntry(Detector& detector, DetectorEntry& entry, Member member, Time now)
    {
        if (entry.member.state != member.state)
            entry.since = now;
        entry.member = std::move(member);
        entry.timesSent = 0;
        ++detector.changes;
    }

    void addEntry(Detector& detector, const Member& member, Time now)
    {
        detector.entries.emplace(member.id, DetectorEntry { .member = member, .since = now, .listed = now });
        ++detector.changes;
    }

    void refute(Detector& detector, const Member& told)
    {
        if (told.state == MemberState::Leaving && told.incarnation == detector.self.incarnation) {
            leave(detector);
            return;
        }
        const auto believedGone = told.state == MemberState::Suspected || told.state == MemberState::Dead;
        if (told.incarnation < detector.self.incarnation || (told.incarnation == detector.self.incarnation && !believedGone))
            return;
        detector.self.incarnation = told.incarnation + 1;
        ++detector.changes;
    }

    void mergeOne(Detector& detector, const Member& told, Time now)
    {
        if (told.id == detector.self.id) {
            refute(detector, told);
            return;
        }
        const auto found = detector.entries.find(told.id);
        if (found == detector.entries.end()) {
            addEntry(detector, told, now);
            return;
        }
        if (overrides(told, found->second.member))
            setEntry(detector, found->second, told, now);
    }

    void takeListedAddresses(Detector& detector, const Member& listed)
    {
        if (listed.peer == detector.self.peer && listed.admin == detector.self.admin)
            return;
        detector.self.peer = listed.peer;
        detector.self.admin = listed.admin;
        ++detector.self.incarnation;
        ++detector.changes;
    }

    void mergeListed(Detector& detector, const ListedVm& vm, Time now)
    {
        auto member = vm.member;
        const auto found = detector.entries.find(member.id);
        if (member.id == detector.self.id) {
            takeListedAddresses(detector, member);
            member = detector.self;
        } else if (found != detector.entries.end()) {
            found->second.listed = now;
            member = found->second.member;
        }
        if (vm.leaving)
            member.state = MemberState::Leaving;
        mergeOne(detector, member, now);
    }

    void refillOrder(Detector& detector, Random& random)
    {
        for (const auto& [id, entry] : detector.entries) {
            if (entry.member.state != MemberState::Dead)
                detector.probeOrder.push_back(id);
        }
        std::shuffle(detector.probeOrder.begin(), detector.probeOrder.end(), random);
    }

    std::optional<Member> chooseDead(Detector& detector, Time now, Random& random)
    {
        if (now - detector.lastDeadProbe < detector.options.deadProbeInterval)
            return std::nullopt;
        detector.lastDeadProbe = now;
        std::vector<const Member*> dead;
        for (const auto& [id, entry] : detector.entries) {
            if (entry.member.state == MemberState::Dead)
                dead.push_back(&entry.member);
        }
        if (dead.empty())
            return std::nullopt;
        return *dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random)];
    }

    std::size_t spreadLimit(const Detector& detector)
    {
        return spreadFactor * static_cast<std::size_t>(std::bit_width(detector.entries.size() + 1));
    }

    void addChanges(Detector& detector, std::vector<Member>& changes)
    {
        const auto limit = spreadLimit(detector);
        std::vector<DetectorEntry*> fresh;
        for (auto& [id, entry] : detector.entries) {
            if (entry.timesSent < limit)
                fresh.push_back(&entry);
        }
        const auto count = std::min(detector.options.changesPerMessage, fresh.size());
        std::partial_sort(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(count), fresh.end(), [](const auto* left, const auto* right) { return left->timesSent < right->timesSent; });
        for (std::size_t i = 0; i < count; ++i) {
            ++fresh[i]->timesSent;
            changes.push_back(fresh[i]->member);
        }
    }

    void addPage(Detector& detector, std::vector<Member>& changes)
    {
        auto position = detector.entries.upper_bound(detector.pageCursor);
        for (std::size_t i = 0; i < std::min(detector.options.pageSize, detector.entries.size()); ++i) {
            if (position == detector.entries.end())
                position = detector.entries.begin();
            changes.push_back(position->second.member);
            detector.pageCursor = position->first;
            ++position;
        }
    }

}

std::optional<Member> chooseProbe(Detector& detector, Time now, Random& random)
{
    const auto paused = now - detector.lastTick > pausedIntervals * detector.options.probeInterval;
    detector.lastTick = now;
    if (paused)
        return std::nullopt;
    if (auto dead = chooseDead(detector, now, random))
        return dead;
    if (detector.probeOrder.empty())
        refillOrder(detector, random);
    while (!detector.probeOrder.empty()) {
        const auto found = detector.entries.find(detector.probeOrder.back());
        detector.probeOrder.pop_back();
        if (found != detector.entries.end() && found->second.member.state != MemberState::Dead)
            return found->second.member;
    }
    return std::nullopt;
}

std::vector<Member> chooseHelpers(const Detector& detector, std::string_view target, Random& random)
{
    std::vector<Member> live;
    for (const auto& [id, entry] : detector.entries) {
        if (id != target && entry.member.state == MemberState::Live)
            live.push_back(entry.member);
    }
    std::vector<Member> helpers;
    std::sample(live.begin(), live.end(), std::back_inserter(helpers), detector.options.helpers, random);
    return helpers;
}

void suspect(Detector& detector, std::string_view target, Time now)
{
    const auto found = detector.entries.find(target);
    if (found == detector.entries.end() || rankState(found->second.member.state) >= rankState(MemberState::Suspected))
        return;
    auto member = found->second.member;
    member.state = MemberState::Suspected;
    setEntry(detector, found->second, std::move(member), now);
}

void expire(Detector& detector, Time now)
{
    for (auto position = detector.entries.begin(); position != detector.entries.end();) {
        auto& entry = position->second;
        if (entry.member.state == MemberState::Suspected && now - entry.since >= detector.options.suspicionTimeout) {
            auto member = entry.member;
            member.state = MemberState::Dead;
            setEntry(detector, entry, std::move(member), now);
        }
        const auto forgotten = entry.member.state == MemberState::Dead && now - std::max(entry.since, entry.listed) >= detector.options.deadRetention;
        position = forgotten ? detector.entries.erase(position) : std::next(position);
    }
}

void merge(Detector& detector, std::span<const Member> told, Time now)
{
    for (const auto& member : told)
        mergeOne(detector, member, now);
}

void mergeList(Detector& detector, std::span<const ListedVm> listed, Time now)
{
    for (const auto& vm : listed)
        mergeListed(detector, vm, now);
}

void leave(Detector& detector)
{
    if (detector.self.state == MemberState::Leaving)
        return;
    detector.self.state = MemberState::Leaving;
    ++detector.changes;
}

Gossip collectGossip(Detector& detector, std::string_view target, std::optional<std::uint64_t> theirDigest)
{
    Gossip gossip;
    gossip.digest = computeDigest(detector);
    gossip.changes.push_back(detector.self);
    const auto found = detector.entries.find(target);
    if (found != detector.entries.end() && found->second.member.state != MemberState::Live)
        gossip.changes.push_back(found->second.member);
    addChanges(detector, gossip.changes);
    if (theirDigest && *theirDigest != gossip.digest)
        addPage(detector, gossip.changes);
    return gossip;
}

std::uint64_t computeDigest(const Detector& detector)
{
    // A sum does not depend on the order, so a daemon's own entry needs no place among the others.
    auto digest = hashing::rendezvousScore(detector.self.id, std::to_string(detector.self.incarnation) + "/" + std::to_string(rankState(detector.self.state)));
    for (const auto& [id, entry] : detector.entries) {
        if (entry.member.state != MemberState::Dead)
            digest += hashing::rendezvousScore(id, std::to_string(entry.member.incarnation) + "/" + std::to_string(rankState(entry.member.state)));
    }
    return digest;
}

std::vector<Member> listMembers(const Detector& detector)
{
    std::vector<Member> members { detector.self };
    for (const auto& [id, entry] : detector.entries) {
        if (entry.member.state != MemberState::Dead)
            members.push_back(entry.member);
    }
    std::sort(members.begin(), members.end(), [](const auto& left, const auto& right) { return left.id < right.id; });
    return members;
}

}
