#pragma once

#include "amaranthhall/share/epoch_record.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthhall::share {

/// @brief Asks a peer for its process identity and the newest epoch that it knows.
struct LearnRequest { };

struct LearnResponse {
    Process self;
    std::optional<EpochRecord> record;
};

/// @brief Asks a grantor to grant or renew a lease.
struct RenewRequest {
    Epoch epoch { 0 };
    Process holder;
    std::uint64_t grantorStartTime { 0 };
};

struct RenewResponse {
    bool granted { false };
    std::optional<EpochRecord> newerRecord; ///< The grantor's record, if its epoch is later than the requested one.
};

/// @brief Tells a grantor to stop granting leases of epochs before `beforeEpoch`.
struct CloseRequest {
    Epoch beforeEpoch { 0 };
    std::uint64_t grantorStartTime { 0 };
};

struct CloseResponse {
    bool sameProcess { false }; ///< If false, another process answered, which proves that the addressed grantor has terminated.
    std::vector<Process> holders; ///< All processes that this grantor has granted a lease to.
};

/// @brief Freezes the transfers of a holder and asks for its tokens, in order to migrate it to a new epoch.
struct MoveRequest {
    Epoch newEpoch { 0 };
    std::uint64_t holderStartTime { 0 };
};

struct MoveResponse {
    bool leaseValid { false }; ///< Whether the holder's lease is valid; a holder without a valid lease has no tokens.
    ConnectionCounts counts;
};

/// @brief Completes the migration of a holder to a new epoch and states its tokens in that epoch.
struct OpenRequest {
    EpochRecord record;
    std::uint64_t holderStartTime { 0 };
    ConnectionCounts counts;
};

struct OpenResponse { };

/// @brief Asks a peer to transfer part of its share of an upstream.
struct TakeRequest {
    Epoch epoch { 0 };
    std::uint64_t id { 0 }; ///< Unique per `requester`. A repeated request gets the first response again.
    Process requester;
    group::UpstreamId upstream;
    std::uint32_t requested { 0 };
    std::uint32_t held { 0 }; ///< Tokens that the requester already holds.
    bool urgent { false }; ///< Statements are waiting; otherwise the request only rebalances idle tokens.
    bool mayDefer { false }; ///< The response may be deferred until connections in use are closed.
};

struct TakeResponse {
    std::uint32_t transferred { 0 };
    std::uint32_t held { 0 }; ///< Tokens left with the responder, whether in use or not.
};

using Request = std::variant<LearnRequest, RenewRequest, CloseRequest, MoveRequest, OpenRequest, TakeRequest>;
using Response = std::variant<LearnResponse, RenewResponse, CloseResponse, MoveResponse, OpenResponse, TakeResponse>;

}
