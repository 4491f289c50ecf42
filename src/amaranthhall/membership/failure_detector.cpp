#include "amaranthhall/membership/failure_detector.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"

#include <algorithm>
#include <bit>
#include <iterator>

namespace amaranthhall::membership {

namespace {

    constexpr std::size_t retransmitFactor = 3; // an update is sent this many times the binary logarithm of the number of members
    constexpr int maximumTickIntervals = 4; // after a longer gap between ticks, in probe intervals, this daemon was itself paused

    /// A state overrides one of lower precedence within the same incarnation.
    int statePrecedence(MemberState state) noexcept
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

    bool overrides(const Member& update, const Member& known) noexcept
    {
        if (update.incarnation != known.incarnation)
            return update.incarnation > known.incarnation;
        return statePrecedence(update.state) > statePrecedence(known.state);
    }

    void updateEntry(Detector& detector, DetectorEntry& entry, Member member, Time now)
    {
        if (entry.member.state != member.state)
            entry.stateSince = now;
        entry.member = std::move(member);
        entry.transmissions = 0;
        ++detector.changeCount;
    }

    void addEntry(Detector& detector, const Member& member, Time now)
    {
        detector.entries.emplace(member.id, DetectorEntry { .member = member, .stateSince = now, .lastListed = now });
        ++detector.changeCount;
    }

    void refute(Detector& detector, const Member& update)
    {
        if (update.state == MemberState::Leaving && update.incarnation == detector.self.incarnation) {
            leave(detector);
            return;
        }
        const auto isReportedUnreachable = update.state == MemberState::Suspected || update.state == MemberState::Dead;
        if (update.incarnation < detector.self.incarnation || (update.incarnation == detector.self.incarnation && !isReportedUnreachable))
            return;
        detector.self.incarnation = update.incarnation + 1;
        ++detector.changeCount;
    }

    void mergeMember(Detector& detector, const Member& update, Time now)
    {
        if (update.id == detector.self.id) {
            refute(detector, update);
            return;
        }
        const auto found = detector.entries.find(update.id);
        if (found == detector.entries.end()) {
            addEntry(detector, update, now);
            return;
        }
        if (overrides(update, found->second.member))
            updateEntry(detector, found->second, update, now);
    }

    void adoptListedAddresses(Detector& detector, const Member& listed)
    {
        if (listed.peer == detector.self.peer && listed.admin == detector.self.admin)
            return;
        detector.self.peer = listed.peer;
        detector.self.admin = listed.admin;
        ++detector.self.incarnation;
        ++detector.changeCount;
    }

    void mergeListedVm(Detector& detector, const ListedVm& vm, Time now)
    {
        auto member = vm.member;
        const auto found = detector.entries.find(member.id);
        if (member.id == detector.self.id) {
            adoptListedAddresses(detector, member);
            member = detector.self;
        } else if (found != detector.entries.end()) {
            found->second.lastListed = now;
            member = found->second.member;
        }
        if (vm.leaving)
            member.state = MemberState::Leaving;
        mergeMember(detector, member, now);
    }

    void refillProbeOrder(Detector& detector, Random& random)
    {
        for (const auto& [id, entry] : detector.entries) {
            if (entry.member.state != MemberState::Dead)
                detector.probeOrder.push_back(id);
        }
        std::shuffle(detector.probeOrder.begin(), detector.probeOrder.end(), random);
    }

    std::optional<Member> chooseDeadMember(Detector& detector, Time now, Random& random)
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

    std::size_t retransmitLimit(const Detector& detector)
    {
        return retransmitFactor * static_cast<std::size_t>(std::bit_width(detector.entries.size() + 1));
    }

    void addRecentUpdates(Detector& detector, std::vector<Member>& updates)
    {
        const auto limit = retransmitLimit(detector);
        std::vector<DetectorEntry*> candidates;
        for (auto& [id, entry] : detector.entries) {
            if (entry.transmissions < limit)
                candidates.push_back(&entry);
        }
        const auto count = std::min(detector.options.updatesPerMessage, candidates.size());
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(), [](const auto* left, const auto* right) { return left->transmissions < right->transmissions; });
        for (std::size_t i = 0; i < count; ++i) {
            ++candidates[i]->transmissions;
            updates.push_back(candidates[i]->member);
        }
    }

    void addPage(Detector& detector, std::vector<Member>& updates)
    {
        auto position = detector.entries.upper_bound(detector.pageCursor);
        for (std::size_t i = 0; i < std::min(detector.options.entriesPerPage, detector.entries.size()); ++i) {
            if (position == detector.entries.end())
                position = detector.entries.begin();
            updates.push_back(position->second.member);
            detector.pageCursor = position->first;
            ++position;
        }
    }

}

std::optional<Member> chooseProbe(Detector& detector, Time now, Random& random)
{
    const auto wasPaused = now - detector.lastTick > maximumTickIntervals * detector.options.probeInterval;
    detector.lastTick = now;
    if (wasPaused)
        return std::nullopt;
    if (auto dead = chooseDeadMember(detector, now, random))
        return dead;
    if (detector.probeOrder.empty())
        refillProbeOrder(detector, random);
    while (!detector.probeOrder.empty()) {
        const auto found = detector.entries.find(detector.probeOrder.back());
        detector.probeOrder.pop_back();
        if (found != detector.entries.end() && found->second.member.state != MemberState::Dead)
            return found->second.member;
    }
    return std::nullopt;
}

std::vector<Member> chooseIndirectProbers(const Detector& detector, std::string_view target, Random& random)
{
    std::vector<Member> live;
    for (const auto& [id, entry] : detector.entries) {
        if (id != target && entry.member.state == MemberState::Live)
            live.push_back(entry.member);
    }
    std::vector<Member> probers;
    std::sample(live.begin(), live.end(), std::back_inserter(probers), detector.options.indirectProbers, random);
    return probers;
}

void suspect(Detector& detector, std::string_view target, Time now)
{
    const auto found = detector.entries.find(target);
    if (found == detector.entries.end() || statePrecedence(found->second.member.state) >= statePrecedence(MemberState::Suspected))
        return;
    auto member = found->second.member;
    member.state = MemberState::Suspected;
    updateEntry(detector, found->second, std::move(member), now);
}

void expire(Detector& detector, Time now)
{
    for (auto position = detector.entries.begin(); position != detector.entries.end();) {
        auto& entry = position->second;
        if (entry.member.state == MemberState::Suspected && now - entry.stateSince >= detector.options.suspicionTimeout) {
            auto member = entry.member;
            member.state = MemberState::Dead;
            updateEntry(detector, entry, std::move(member), now);
        }
        const auto isExpired = entry.member.state == MemberState::Dead && now - std::max(entry.stateSince, entry.lastListed) >= detector.options.deadRetention;
        position = isExpired ? detector.entries.erase(position) : std::next(position);
    }
}

void merge(Detector& detector, std::span<const Member> updates, Time now)
{
    for (const auto& member : updates)
        mergeMember(detector, member, now);
}

void mergeVmList(Detector& detector, std::span<const ListedVm> listed, Time now)
{
    for (const auto& vm : listed)
        mergeListedVm(detector, vm, now);
}

void leave(Detector& detector)
{
    if (detector.self.state == MemberState::Leaving)
        return;
    detector.self.state = MemberState::Leaving;
    ++detector.changeCount;
}

Gossip collectGossip(Detector& detector, std::string_view target, std::optional<std::uint64_t> remoteDigest)
{
    Gossip gossip;
    gossip.digest = computeDigest(detector);
    gossip.updates.push_back(detector.self);
    const auto found = detector.entries.find(target);
    if (found != detector.entries.end() && found->second.member.state != MemberState::Live)
        gossip.updates.push_back(found->second.member);
    addRecentUpdates(detector, gossip.updates);
    if (remoteDigest && *remoteDigest != gossip.digest)
        addPage(detector, gossip.updates);
    return gossip;
}

std::uint64_t computeDigest(const Detector& detector)
{
    // A sum is independent of the order, so the daemon's own entry need not be merged into the sorted entries.
    auto digest = hashing::rendezvousScore(detector.self.id, std::to_string(detector.self.incarnation) + "/" + std::to_string(statePrecedence(detector.self.state)));
    for (const auto& [id, entry] : detector.entries) {
        if (entry.member.state != MemberState::Dead)
            digest += hashing::rendezvousScore(id, std::to_string(entry.member.incarnation) + "/" + std::to_string(statePrecedence(entry.member.state)));
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
