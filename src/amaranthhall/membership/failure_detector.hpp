#pragma once

#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/membership/member.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::membership {

/// @brief Intervals and bounds of the failure detector.
struct DetectorOptions {
    Duration probeInterval { std::chrono::milliseconds(500) };
    Duration suspicionTimeout { std::chrono::milliseconds(3000) }; ///< A suspected member that has not refuted by then is dead.
    Duration deadRetention { std::chrono::minutes(10) }; ///< A dead member is remembered this long after it was last listed.
    Duration deadProbeInterval { std::chrono::seconds(5) }; ///< A dead member that is still listed is probed this often, so that a partition heals.
    std::size_t indirectProbers { 3 }; ///< Members that probe indirectly before a suspicion.
    std::size_t updatesPerMessage { 8 };
    std::size_t entriesPerPage { 32 }; ///< Entries that a daemon whose digest differs gets with an answer.
};

/// @brief One VM as the platform lists it.
struct ListedVm {
    Member member;
    bool leaving { false };
};

/// @brief What one daemon knows of one other.
struct DetectorEntry {
    Member member;
    Time stateSince; ///< When the state began.
    Time lastListed; ///< When the platform last listed it.
    std::size_t transmissions { 0 }; ///< How often the last change was passed on.
};

/// @brief State of the failure detector of one daemon (Das, Gupta and Motivala, "SWIM", 2002).
struct Detector {
    DetectorOptions options;
    Member self;
    std::map<std::string, DetectorEntry, std::less<>> entries; ///< All others, the dead among them.
    std::vector<std::string> probeOrder;
    std::string pageCursor;
    Time lastTick;
    Time lastDeadProbe;
    std::uint64_t changeCount { 1 }; ///< Grows with each change of the set or of a state.
};

/// @brief What goes along with a probe and its answer.
struct Gossip {
    std::vector<Member> updates;
    std::uint64_t digest { 0 };
};

/**
 * @brief Chooses the member to probe now; call once an interval.
 * @return The member, or nothing if there is no other or if this daemon has itself been paused.
 */
[[nodiscard]] std::optional<Member> chooseProbe(Detector& detector, Time now, Random& random);

/// @brief Chooses live members that probe a silent one on this daemon's behalf.
[[nodiscard]] std::vector<Member> chooseIndirectProbers(const Detector& detector, std::string_view target, Random& random);

/// @brief Takes in that a member answered neither this daemon nor the helpers.
void suspect(Detector& detector, std::string_view target, Time now);

/// @brief Declares dead what has been suspected for too long, and forgets what has been dead for long.
void expire(Detector& detector, Time now);

/// @brief Takes in what a peer tells; a wrong belief of this daemon itself is refuted by a new incarnation.
void merge(Detector& detector, std::span<const Member> updates, Time now);

/// @brief Takes in the platform's list, which lags: it adds members, marks the leaving, and removes none; this daemon takes on the addresses listed for it.
void mergeVmList(Detector& detector, std::span<const ListedVm> listed, Time now);

/// @brief Marks this daemon as leaving.
void leave(Detector& detector);

/**
 * @brief Collects what to tell a member: the newest changes, and what it should refute of itself.
 * @param remoteDigest Its digest if it is known; if it differs, a page of entries is added.
 */
[[nodiscard]] Gossip collectGossip(Detector& detector, std::string_view target, std::optional<std::uint64_t> remoteDigest);

/// @brief Computes a digest of all that is known; equal digests mean equal knowledge.
[[nodiscard]] std::uint64_t computeDigest(const Detector& detector);

/// @brief Lists all members that are not dead, this daemon among them, ordered by id.
[[nodiscard]] std::vector<Member> listMembers(const Detector& detector);

}
