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

/// @brief Timeouts and limits of the failure detector.
struct DetectorOptions {
    Duration probeInterval { std::chrono::milliseconds(500) };
    Duration suspicionTimeout { std::chrono::milliseconds(3000) }; ///< A suspected member is declared dead unless it refutes the suspicion within this time.
    Duration deadRetention { std::chrono::minutes(10) }; ///< A dead member is removed this long after it died or was last listed by the platform, whichever is later.
    Duration deadProbeInterval { std::chrono::seconds(5) }; ///< Interval at which one of the dead members is probed, so that members rejoin after a network partition.
    std::size_t indirectProbers { 3 }; ///< Members that are asked to probe an unresponsive member before it is suspected.
    std::size_t updatesPerMessage { 8 }; ///< Maximum number of recent updates piggybacked on a message.
    std::size_t entriesPerPage { 32 }; ///< Entries added to a reply to a daemon whose digest differs (anti-entropy).
};

/// @brief A VM from the list that the platform reports.
struct ListedVm {
    Member member;
    bool leaving { false }; ///< The platform marks the VM as leaving.
};

/// @brief Local view of one other daemon.
struct DetectorEntry {
    Member member;
    Time stateSince; ///< Time of the last state change.
    Time lastListed; ///< Last time that the platform listed the VM.
    std::size_t transmissions { 0 }; ///< Number of messages that have carried the latest update of this member.
};

/// @brief State of the failure detector of one daemon (Das, Gupta and Motivala, "SWIM", 2002).
struct Detector {
    DetectorOptions options;
    Member self;
    std::map<std::string, DetectorEntry, std::less<>> entries; ///< All other members, including dead ones.
    std::vector<std::string> probeOrder; ///< Members still to be probed in this round, in random order.
    std::string pageCursor; ///< Last member sent by anti-entropy; the next page starts after it.
    Time lastTick; ///< Last call of chooseProbe().
    Time lastDeadProbe; ///< Last time that a dead member was due to be probed.
    std::uint64_t changeCount { 1 }; ///< Incremented on each change of the member set, of a state, or of this daemon's own entry.
};

/// @brief Membership information piggybacked on a probe and on its reply.
struct Gossip {
    std::vector<Member> updates; ///< The sender's own entry comes first.
    std::uint64_t digest { 0 };
};

/**
 * @brief Selects the member to probe next; to be called once per probe interval.
 * @return The member, or nothing if there is none to probe or if this daemon was itself paused since the last call.
 */
[[nodiscard]] std::optional<Member> chooseProbe(Detector& detector, Time now, Random& random);

/// @brief Selects random live members that probe an unresponsive member on this daemon's behalf.
[[nodiscard]] std::vector<Member> chooseIndirectProbers(const Detector& detector, std::string_view target, Random& random);

/// @brief Marks a member as suspected after the direct probe and the indirect probes have failed.
void suspect(Detector& detector, std::string_view target, Time now);

/// @brief Declares members dead after `suspicionTimeout` and removes dead members after `deadRetention`.
void expire(Detector& detector, Time now);

/// @brief Merges updates from a peer; a false suspicion of this daemon is refuted by a new incarnation.
void merge(Detector& detector, std::span<const Member> updates, Time now);

/**
 * @brief Merges the platform's list of VMs.
 *
 * The list lags behind, so it adds members and marks leaving ones, but removes none. This daemon
 * adopts the addresses that are listed for it.
 */
void mergeVmList(Detector& detector, std::span<const ListedVm> listed, Time now);

/// @brief Marks this daemon as leaving.
void leave(Detector& detector);

/**
 * @brief Collects the gossip for a member: the least transmitted updates, and the member's own state if it is not live, so that it can refute it.
 * @param remoteDigest The member's digest if known; if it differs from the local one, a page of entries is added.
 */
[[nodiscard]] Gossip collectGossip(Detector& detector, std::string_view target, std::optional<std::uint64_t> remoteDigest);

/// @brief Computes a digest of the member set without dead members; equal digests mean equal views.
[[nodiscard]] std::uint64_t computeDigest(const Detector& detector);

/// @brief Lists all members that are not dead, including this daemon, ordered by id.
[[nodiscard]] std::vector<Member> listMembers(const Detector& detector);

}
