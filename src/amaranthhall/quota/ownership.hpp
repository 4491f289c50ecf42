#pragma once

#include "amaranthhall/quota/owner.hpp"
#include "amaranthhall/quota/support.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::quota {

/// @brief Whether a daemon owns the bucket of an organisation.
enum class OwnerState : std::uint8_t {
    None, ///< It has not owned the bucket lately.
    Adopting, ///< It has asked the likely predecessors for the bucket.
    Active, ///< It grants tokens.
    Released, ///< It has handed the bucket to another daemon.
};

/// @brief What a daemon knows of the bucket of one organisation.
struct Ownership {
    OwnerState state { OwnerState::None };
    OwnedBucket owned; ///< While Active.
    Support support; ///< While Active.
    Shares shares; ///< While Active.
    std::vector<Tenure> lineage; ///< While Active: tenures that ended as the bucket was handed over, oldest first.
    Time askedVotersAt; ///< While Active: when the voters were last asked for their leases.
    bool isStarting { false }; ///< While Active: the initial tokens have not been allowed yet.
    std::set<std::string> awaited; ///< While Adopting: daemons that have not replied yet.
    std::optional<double> adoptedTokens; ///< Received from a predecessor; absent if the bucket starts without one.
    std::string successor; ///< While Released.
    double releasedTokens { 0 }; ///< While Released: told to the successor.
    Lent releasedLent; ///< While Released: told to the successor.
    std::vector<Tenure> releasedLineage; ///< While Released: told to the successor.
    std::uint64_t releaseNumber { 0 }; ///< While Released: of the release that the successor was told.
    std::deque<std::uint64_t> appliedReleases; ///< Numbers of the last releases that this daemon received.
    std::set<std::string> asked; ///< Daemons that the last adoption asked for the bucket.
    Time askedAt; ///< When the last adoption ended.
    Time changedAt; ///< Of the state.
};

/// @brief Release::number of replies that hand over no bucket, which tells them from those of a build without leases.
inline constexpr std::uint64_t repliesWithoutBucket = 1;

/// @brief A daemon's reply when another one asks it to release a bucket.
struct Release {
    bool wasHeld { false };
    double tokens { 0 }; ///< In the bucket, if it was held.
    std::vector<Tenure> lineage; ///< Of the bucket, including the tenure that ends; oldest first.
    Lent lent; ///< The successor leaves it unused.
    bool isClaimed { false }; ///< The daemon is adopting the bucket itself and ranks before the one that asked.
    std::uint64_t number { 0 }; ///< The same in all copies and repetitions of a release, repliesWithoutBucket in replies without one; 0 from a daemon of a build without numbers.
};

/// @brief Time within which a repeated request of the successor gets the same reply again.
inline constexpr Duration releaseRepeatTime = std::chrono::seconds(1);

/// @brief Time for which a daemon remembers to whom it released a bucket.
inline constexpr Duration releaseMemory = std::chrono::seconds(10);

/// @brief Begins the adoption of a bucket; `predecessors` are the daemons that may hold it. Without any, the bucket is active at once.
void beginAdoption(Ownership& ownership, const std::vector<std::string>& predecessors, Time now);

/// @brief Applies the reply of a predecessor; the bucket is active once one has handed it over or all have replied.
void applyRelease(Ownership& ownership, std::string_view predecessor, const Release& reply, const catalog::OperationLimit& limit, Time now);

/**
 * @brief Applies a release that was not asked for, as a daemon sends it that stops. Returns whether this daemon owns the bucket because of it.
 *
 * A copy of an earlier release is ignored: its tokens may have been handed on already, and a second owner would grant them again.
 */
[[nodiscard]] bool applyUnaskedRelease(Ownership& ownership, std::string_view sender, const Release& release, Time now);

/// @brief Ends an adoption whose predecessors have not replied in time; the bucket starts empty.
void endAdoption(Ownership& ownership, const catalog::OperationLimit& limit, Time now);

/// @brief Adds the tokens that have accrued and returns the limit that applies to grants now.
[[nodiscard]] catalog::OperationLimit accrue(Ownership& ownership, const catalog::OperationLimit& limit, const Room& room, Time now);

/// @brief Returns the request for the leases of an active owner.
[[nodiscard]] LeaseRequest leaseRequest(const Ownership& ownership, Time now);

/// @brief Applies a voter's reply to an active owner; adds the initial tokens of the room once most voters allow them.
void applyVote(Ownership& ownership, std::string_view voter, const LeaseReply& reply, const Room& room, Time now);

/// @brief Applies a reply of a voter of a build without leases, which replies as to a request to release the bucket.
void applyVoteWithoutLease(Ownership& ownership, std::string_view voter, const Release& reply, const Room& room, Time now);

/// @brief Gives up the bucket in favour of another owner that more voters support. No tokens are handed over, as the other one has its own bucket.
void yieldBucket(Ownership& ownership, const std::string& rival, Time now);

/// @brief Returns the owner to which an active one must yield, once leases of an owner before it have ended; std::nullopt if there is none.
[[nodiscard]] std::optional<std::string> rivalToYieldTo(const Ownership& ownership, std::string_view self, Time now);

/// @brief A daemon that asks for a bucket.
struct Successor {
    std::string_view vm;
    std::string_view releasedBy; ///< VM of the daemon that is asked.
    bool ranksFirst { false }; ///< It ranks before the daemon that it asks.
    std::uint64_t releaseNumber { 0 }; ///< Number for the release, if this is not a repetition of an earlier one.
};

/**
 * @brief Hands the bucket over to a daemon that asks for it; the caller must deliver the reply, as the tokens exist only there.
 *
 * Of two daemons that adopt the bucket from each other, the one that ranks first gets it.
 */
[[nodiscard]] Release releaseBucket(Ownership& ownership, const Successor& successor, const catalog::OperationLimit& limit, const Room& room, Time now);

/// @brief Drops the bucket, as another daemon may own it by now; copies of earlier releases are still known.
void dropBucket(Ownership& ownership, Time now);

/// @brief Returns whether requests for the bucket must be sent to its successor.
[[nodiscard]] bool isRedirecting(const Ownership& ownership, Time now) noexcept;

}
