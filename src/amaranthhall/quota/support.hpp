#pragma once

#include "amaranthhall/quota/bucket.hpp"
#include "amaranthhall/quota/room.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::quota {

/**
 * @brief Time for which a voter supports one owner only.
 *
 * A new owner that has not received the bucket of its predecessor waits for the predecessor's leases at most this long. Three renewals fit in, so that lost
 * datagrams rarely end a lease.
 */
inline constexpr Duration leaseTime = std::chrono::milliseconds(500);

/// @brief Time after which an owner renews its leases.
inline constexpr Duration leaseRenewal = std::chrono::milliseconds(160);

/// @brief Time within which a new owner waits for the first replies of its voters; a round trip takes about 1 ms.
inline constexpr Duration confirmationTime = std::chrono::milliseconds(25);

/// @brief Voters of an organisation in a fleet of at least as many daemons; one of them may be down without consequences.
inline constexpr std::size_t maximumVoters = 5;

/// @brief The time for which one daemon owns a bucket without a break.
struct Tenure {
    std::string owner; ///< VM.
    std::uint64_t startedAt { 0 }; ///< µs of the owner's clock.

    friend bool operator==(const Tenure&, const Tenure&) = default;
};

/// @brief Earlier tenures that are named along with the present one; a bucket may be handed on several times while a voter hears of none of them.
inline constexpr std::size_t maximumLineage = 4;

/// @brief An owner's request to a voter for a lease.
struct LeaseRequest {
    std::uint64_t sentAt { 0 }; ///< µs of the owner's clock; the reply has the same.
    std::uint64_t tenure { 0 }; ///< When the owner's tenure started; see Tenure::startedAt.
    std::vector<Tenure> lineage; ///< Earlier tenures that ended as the bucket was handed over, and with it the leases.
    double lentPerSecond { 0 }; ///< Operations a second that the owner itself may have announced as shares; what earlier owners did, the voters know with its expiry.
    bool isStarting { false }; ///< The owner started without a bucket and has not received the initial tokens.
};

/// @brief A voter's reply.
struct LeaseReply {
    std::uint64_t sentAt { 0 }; ///< Of the request.
    bool isGranted { false }; ///< The voter supports no other owner for leaseTime from the arrival of the request.
    bool isContinued { false }; ///< The voter has supported no other owner since it first supported this one, or the one that handed the bucket over.
    bool mayStart { false }; ///< The owner may have the initial tokens, if most voters say so.
    double lentPerSecond { 0 }; ///< Operations a second that the owners before may have announced as shares that are still valid.
    std::string owner; ///< If not granted: the VM that has the lease; empty while the voter does not know.
};

/// @brief What a voter knows of the owner of one organisation's bucket.
struct Lease {
    Tenure tenure; ///< Supported.
    Time until;
    double lentPerSecond { 0 }; ///< By the owner that is supported, or earlier ones.
    Time lentUntil;
    Tenure started; ///< The last tenure for which the initial tokens were allowed.
    Time startedAt; ///< When they were.
};

/**
 * @brief Decides on a request for a lease. A voter supports one owner at a time, so that the fractions of all owners add up to 1 at most.
 *
 * A restarted voter supports the first owner that asks. An earlier owner may count that voter's lease for up to leaseTime longer, which the room for starts
 * covers; waiting for it left an organisation without an owner after a loss of all daemons.
 * @param window Of the bound.
 */
[[nodiscard]] LeaseReply grantLease(Lease& lease, std::string_view owner, const LeaseRequest& request, Duration window, Time now);

/// @brief A voter's support as its owner knows it.
struct Vote {
    Time since;
    Time until;
    Time repliedAt; ///< Last reply, granted or not.
    double lentPerSecond { 0 }; ///< By earlier owners.
    std::string rival; ///< Owner that the voter supports instead.
    bool mayStart { false };
};

/// @brief The support of an owner.
struct Support {
    std::size_t voters { 1 };
    std::map<std::string, Vote, std::less<>> votes; ///< By voter.
};

/// @brief Sets the voters; what others have said is forgotten.
void setVoters(Support& support, const std::vector<std::string>& names, std::size_t voters);

/**
 * @brief Records a reply.
 * @param activeSince When the owner received its bucket; a continued lease counts from then on.
 * @param sentAt When the request was sent.
 */
void applyLease(Support& support, std::string_view voter, const LeaseReply& reply, Time activeSince, Time sentAt, Time now);

/// @brief Returns what earlier owners have lent according to the voters; std::nullopt if half of them or more have not replied.
[[nodiscard]] std::optional<double> lentByEarlierOwners(const Support& support) noexcept;

/// @brief Returns whether all voters have replied.
[[nodiscard]] bool haveAllReplied(const Support& support) noexcept;

/// @brief Returns whether more than half of the voters allow the initial tokens.
[[nodiscard]] bool mayStart(const Support& support) noexcept;

/**
 * @brief Returns the fraction of the limit that an owner with a part of the votes may grant.
 *
 * It is 1 with two thirds of the votes, 0 with one third, and linear in between: fraction(x) + fraction(1 - x) = 1, so two owners that share the votes stay
 * within one limit, and a few voters that are down cost nothing.
 */
[[nodiscard]] double supportedFraction(std::size_t votes, std::size_t voters) noexcept;

/// @brief Returns the fraction that is supported now.
[[nodiscard]] double currentFraction(const Support& support, Time now) noexcept;

/// @brief Returns the limit that applies to an owner with a fraction of the votes.
[[nodiscard]] catalog::OperationLimit scaleLimit(const catalog::OperationLimit& limit, double fraction) noexcept;

/// @brief Adds the tokens that have accrued with the votes held for all of the time since the last call; what exceeds the supported fraction of the burst is dropped.
void refillSupported(Bucket& bucket, const Support& support, const catalog::OperationLimit& limit, Time now) noexcept;

/// @brief Returns the other owner to which this one should yield: one that more voters support, or as many if its name is less. std::nullopt if there is none.
[[nodiscard]] std::optional<std::string> strongerRival(const Support& support, std::string_view self, Time now);

}
