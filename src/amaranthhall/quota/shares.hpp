#pragma once

#include "amaranthhall/quota/room.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::quota {

/// @brief Time for which a holder may use an announced share while it reaches no owner; longer than most partitions, as a holder that is cut off hears of no other share.
inline constexpr Duration shareLifetime = std::chrono::seconds(5);

/// @brief Time for which a holder's last report counts as its demand; a holder with demand asks several times in it.
inline constexpr Duration demandMemory = std::chrono::seconds(2);

/// @brief Time after which a share is announced again.
inline constexpr Duration shareRenewal = std::chrono::seconds(1);

/// @brief Fraction of the limit that may be announced as shares; an owner that does not know the shares of its predecessor leaves as much unused.
inline constexpr double maximumLent = 0.4;

/// @brief A rate and a burst that a holder may run on its own while it reaches no owner.
struct Share {
    double perSecond { 0 };
    double burst { 0 };
    Duration lifetime { 0 }; ///< From the request on; 0 if no share is announced.
};

/// @brief What an owner knows of a holder's demand and has announced to it.
struct HolderShare {
    double demandPerSecond { 0 };
    Time reportedAt;
    double perSecond { 0 }; ///< The largest share that it may still use, as a later announcement may be lost.
    Time until;
    double laterPerSecond { 0 }; ///< A smaller one that was announced later.
    Time laterUntil;
    Time announcedAt;
};

/// @brief The shares that an owner has announced, and those that may have been announced before it.
struct Shares {
    std::map<std::string, HolderShare, std::less<>> holders; ///< By VM.
    double earlier { 0 }; ///< Operations a second that earlier owners have lent.
    bool isEarlierUnknown { false }; ///< Earlier owners may have lent as much as they can.
    Time earlierUntil;
    Time announcedFrom; ///< The demand of all holders is not known before.
    double reserved { 0 }; ///< Operations a second that may be lent, as the voters have been told.
    double ownLent { 0 }; ///< The part of `lent` that this owner has announced itself.
    double lent { 0 }; ///< Operations a second of the limit that holders may run on their own, as of the last update.
    Time updatedAt;
};

/// @brief Lent operations a second, as one owner tells the next.
struct Lent {
    double perSecond { 0 };
    Duration lifetime { 0 };
};

/// @brief Notes that other owners may have announced shares up to now.
void noteUnknownShares(Shares& shares, Time now) noexcept;

/// @brief Determines how much may be lent until the next renewal of the leases, with which the voters are told.
void reserveShares(Shares& shares, const catalog::OperationLimit& limit, const Room& room, Time now) noexcept;

/**
 * @brief Records a holder's demand and returns the share to announce to it; std::nullopt if its last one is recent or none may be announced.
 *
 * Shares are divided by demand. They are taken from the part of the room for daemons that reach no owner and from the limit as far as the demand of all
 * holders leaves it unused. What has been announced counts as used until it expires.
 * @param isSupported Whether the owner has votes for the whole limit; shares of an earlier owner are not known otherwise.
 */
[[nodiscard]] std::optional<Share> announceShare(Shares& shares, std::string_view vm, double demandPerSecond, const catalog::OperationLimit& limit, const Room& room, bool isSupported, Time now);

/// @brief Updates what is lent and returns the limit that is left for grants.
[[nodiscard]] catalog::OperationLimit limitBesideShares(Shares& shares, const catalog::OperationLimit& limit, const Room& room, Time now) noexcept;

/// @brief Returns what a next owner must leave unused.
[[nodiscard]] Lent lentNow(const Shares& shares, const catalog::OperationLimit& limit, Time now) noexcept;

}
