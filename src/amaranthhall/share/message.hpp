#pragma once

#include "amaranthhall/share/epoch_record.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthhall::share {

/// @brief Asks a peer who it is and which epoch it knows.
struct LearnRequest { };

struct LearnResponse {
    Process self;
    std::optional<EpochRecord> record;
};

/// @brief Asks a grantor for a lease.
struct RenewRequest {
    Epoch epoch { 0 };
    Process holder;
    std::uint64_t grantorStartTime { 0 };
};

struct RenewResponse {
    bool granted { false };
    std::optional<EpochRecord> newerRecord; ///< What the grantor knows, if it is of a later epoch.
};

/// @brief Orders a grantor to grant no more leases of epochs before one.
struct CloseRequest {
    Epoch beforeEpoch { 0 };
    std::uint64_t grantorStartTime { 0 };
};

struct CloseResponse {
    bool sameProcess { false }; ///< False proves that the grantor asked for has ended.
    std::vector<Process> holders; ///< All to which it granted a lease.
};

/// @brief Asks a holder what it holds and stops its transfers, so that it can be taken over into an epoch.
struct MoveRequest {
    Epoch newEpoch { 0 };
    std::uint64_t holderStartTime { 0 };
};

struct MoveResponse {
    bool leaseValid { false }; ///< The holder's lease was valid; else it holds nothing.
    ConnectionCounts counts;
};

/// @brief Takes a holder over into an epoch with what it holds there.
struct OpenRequest {
    EpochRecord record;
    std::uint64_t holderStartTime { 0 };
    ConnectionCounts counts;
};

struct OpenResponse { };

/// @brief Asks a peer for some of its share of an upstream.
struct TakeRequest {
    Epoch epoch { 0 };
    std::uint64_t id { 0 }; ///< Together with `by`; a repeat gets the first answer.
    Process requester;
    group::UpstreamId upstream;
    std::uint32_t requested { 0 };
    std::uint32_t held { 0 }; ///< What the asking daemon holds already.
    bool urgent { false }; ///< Statements are waiting; otherwise it only evens out.
    bool mayDefer { false }; ///< The answer may be held back until share in use is free.
};

struct TakeResponse {
    std::uint32_t transferred { 0 };
    std::uint32_t held { 0 }; ///< What the giving daemon has left, in use or not.
};

using Request = std::variant<LearnRequest, RenewRequest, CloseRequest, MoveRequest, OpenRequest, TakeRequest>;
using Response = std::variant<LearnResponse, RenewResponse, CloseResponse, MoveResponse, OpenResponse, TakeResponse>;

}
