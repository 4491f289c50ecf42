#pragma once

#include "amaranthhall/membership/member.hpp"
#include "amaranthhall/share/ledger.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace amaranthhall::share {

/// @brief How far a dealing has come.
enum class DealPhase : std::uint8_t {
    Idle,
    Survey, ///< Reads the row and the list of VMs and asks who may grant leases.
    Claim, ///< Writes the row with the next number.
    Close, ///< Has the earlier epochs' leases granted no more.
    Move, ///< Takes over the holders that answer, and waits until the leases of the others have lapsed.
    Release, ///< Has the upstreams terminate the connections of those that were not taken over, then deals their share.
    Settle, ///< Writes the row with the outcome.
};

/// @brief State of the daemon that deals shares afresh in a new epoch.
struct Dealer {
    using Waiting = std::pair<std::string, group::UpstreamId>;

    ShareOptions options;
    Process self;
    DealPhase phase { DealPhase::Idle };
    Time deadline; ///< Of the phase.
    Time nextStart; ///< No dealing begins before.
    Time nextRetry; ///< When lost orders are repeated.
    std::optional<EpochRecord> stored; ///< The row as last read.
    std::uint64_t storedVersion { 0 };
    std::uint64_t ownVersion { 0 }; ///< Version of the row that this dealing builds on; any other means that a later dealer has begun.
    std::set<std::string> seen; ///< VMs that were here since the last dealing began.
    bool recordRead { false }; ///< In this dealing.
    std::optional<std::set<std::string>> listedVms; ///< As last read in this dealing.
    std::vector<Process> surveyed;
    EpochRecord record; ///< The epoch being dealt.
    std::map<Epoch, std::set<std::string>> closed; ///< Grantors of each earlier epoch that grant no more.
    std::set<Process> holders;
    std::map<Process, Counts> taken; ///< What each holder that answered takes along.
    std::set<Process> opened;
    std::set<Waiting> unreleased;
    Time releasedAt;
    std::set<group::UpstreamId> dealt;
    std::map<std::uint64_t, std::pair<Request, Process>> sends;
};

/// @brief What a dealer sees of the rest of the daemon.
struct DealerView {
    std::span<const membership::Member> members;
    const Counts& limits; ///< Of the table in force.
    Time now;
};

/// @brief Tells whether shares should be dealt afresh, and takes note of the members that are here.
[[nodiscard]] bool isDealingDue(Dealer& dealer, const DealerView& view);

/// @brief Begins a dealing.
void beginDealing(Dealer& dealer, const DealerView& view, std::uint64_t& nextSend, Actions& actions);

/// @brief Goes on with a dealing: ends waits, repeats lost orders, adds share that has become free to the ledger.
void continueDealing(Dealer& dealer, const DealerView& view, Ledger& ledger, Actions& actions);

/// @brief Takes in an answer to one of the dealer's requests; gives false if the id is not one of its own.
bool receiveDealerAnswer(Dealer& dealer, std::uint64_t id, const std::optional<Response>& response, const DealerView& view, std::uint64_t& nextSend, Actions& actions);

/// @brief Takes in the row as read.
void receiveRecord(Dealer& dealer, std::uint64_t version, const std::optional<EpochRecord>& record);

/// @brief How a write of the row ended.
enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict,
    Unknown, ///< It may have taken effect.
};

/// @brief Takes in the outcome of a write of the row.
void receiveWritten(Dealer& dealer, WriteOutcome outcome, std::uint64_t version, Time now);

/// @brief Takes in that an upstream has terminated a VM's connections.
void receiveReleased(Dealer& dealer, const std::string& vm, const group::UpstreamId& upstream);

}
