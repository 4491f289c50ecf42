#pragma once

#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/table/stage.hpp"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace amaranthhall::table {

/// @brief Bounds within which a daemon may act on the table that it holds.
struct ReplicaOptions {
    Duration lease { std::chrono::seconds(4) }; ///< Longest time without contact during which new work is taken.
    Duration fateBound { std::chrono::seconds(2) }; ///< Longest time after a staged edit was last known to be undecided.
};

/// @brief A daemon's side of the table: what is in force, what is staged, and since when it knows.
struct Replica {
    bool isLoaded { false };
    TableImage inForce;
    std::string digest;
    Version knownVersion { 0 };
    StageNumber lastStage { 0 };
    std::optional<Stage> staged;
    std::set<std::string, std::less<>> touched; ///< Services that the staged edit changes.
    Time pendingAsOf; ///< Latest moment at which the staged edit was undecided.
    std::optional<Time> contactAsOf; ///< Latest moment as of which everything staged is known here.
};

/// @brief Answer to a stage that an editor spreads.
enum class StageAnswer : std::uint8_t {
    Held, ///< Held from now on; the editor may count this daemon.
    Decided, ///< An edit that is newer, or this one's fate, is already known here.
    Invalid, ///< The rows do not have the digest, or do not pass the checks.
};

/// @brief What is missing here to follow a report.
struct Wanted {
    std::string table; ///< Digest of the table in force; empty if it is here.
    std::optional<StageInfo> stage; ///< The stage whose rows are missing.

    [[nodiscard]] bool isEmpty() const noexcept { return this->table.empty() && !this->stage; }
};

/**
 * @brief Takes a staged edit.
 * @param asOf Moment at which the edit was undecided.
 */
StageAnswer holdStage(Replica& replica, const Stage& stage, Time asOf);

/**
 * @brief Takes the rows of a committed version; ignores one that is not newer than what is in force.
 * @return Whether the table in force has changed; false too if the rows do not have the digest.
 */
bool takeTable(Replica& replica, const TableImage& image, std::string_view digest);

/**
 * @brief Learns from the store, from a peer or from an editor.
 *
 * Contact counts only if nothing is missing; fetch what is wanted, hand it in and take the same report again.
 *
 * @param askedAt When the question was sent; nothing for a report that came unasked, which proves no moment.
 */
[[nodiscard]] Wanted takeReport(Replica& replica, const Report& report, std::optional<Time> askedAt);

/// @brief Notes that everything staged up to a moment is known here, as a majority of peers has answered a question of then.
void renewContact(Replica& replica, Time asOf);

/// @brief Notes that the staged edit was undecided at a moment.
void renewPending(Replica& replica, StageNumber number, Time asOf);

/// @brief Tells whether new work of a service may be taken; reads the clock's time, so that a pause counts.
[[nodiscard]] bool mayTakeWork(const Replica& replica, std::string_view service, Time now, const ReplicaOptions& options);

/// @brief Tells in words why new work is refused for some service; empty if it is not.
[[nodiscard]] std::string explainRefusal(const Replica& replica, Time now, const ReplicaOptions& options);

/// @brief Gives what this daemon knows, for a peer that asks.
[[nodiscard]] Report makeReport(const Replica& replica, Time now);

}
