#pragma once

#include "amaranthhall/quota/bucket.hpp"
#include "amaranthhall/quota/room.hpp"
#include "amaranthhall/quota/shares.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace amaranthhall::quota {

/// @brief A daemon's request for tokens of an organisation.
struct GrantRequest {
    std::string holder; ///< Name of the asking process; another one after a restart, as its sequence starts anew.
    std::uint64_t sequence { 0 }; ///< Increases with each request of the holder for the organisation; a repeated request has the same number.
    std::uint32_t wanted { 1 };
    double demandPerSecond { 0 }; ///< Of the holder's callers; 0 from a daemon of a build that does not tell.
    std::uint32_t returned { 0 }; ///< Tokens of the previous grant that the holder has not used and no longer uses.
};

/// @brief An owner's reply to a request.
struct Grant {
    std::uint64_t sequence { 0 }; ///< Of the request.
    std::uint32_t tokens { 0 }; ///< 0 if the organisation has reached its limit.
    Duration lifetime { 0 }; ///< Time from the arrival of the request after which the tokens must not be used.
    Duration retryAfter { 0 }; ///< If there are no tokens: when the bucket will have one.
    Share share; ///< For the time in which the holder reaches no owner.
    bool isUnsupported { false }; ///< The owner may not grant, because too few daemons support it; the holder does as if it reached no owner.
};

/// @brief The last grant of a holder.
struct LastGrant {
    Grant grant;
    Time at;
};

/// @brief The bucket of an organisation at its owner, and the last grant of each holder.
struct OwnedBucket {
    Bucket bucket;
    double startTokens { 0 }; ///< Initial tokens of an owner that started without the bucket of its predecessor; they do not depend on its support.
    std::map<std::string, LastGrant, std::less<>> lastGrants; ///< By holder.
    Time lastUsedAt;
};

/// @brief Time after which a holder that has asked for nothing is forgotten.
inline constexpr Duration holderMemory = std::chrono::seconds(60);

/**
 * @brief Grants tokens from the bucket.
 *
 * A repeated request gets the grant of the first one again, so that it is counted once; an older request gets nothing. Near the limit tokens are granted
 * one at a time.
 */
[[nodiscard]] Grant grantTokens(OwnedBucket& owned, const GrantRequest& request, const catalog::OperationLimit& limit, const Room& room, Time now);

/// @brief Removes the holders that have asked for nothing for holderMemory.
void forgetIdleHolders(OwnedBucket& owned, Time now);

/// @brief Returns the bucket of an owner that starts without the bucket of its predecessor; it is empty until the voters allow the initial tokens.
[[nodiscard]] OwnedBucket startBucket(Time now);

/// @brief Returns the bucket of an owner that received the tokens of its predecessor.
[[nodiscard]] OwnedBucket adoptBucket(double tokens, const catalog::OperationLimit& limit, Time now);

}
