#pragma once

#include "amaranthhall/share/epoch_record.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace amaranthhall::share {

/// @brief Asks a peer who it is and which epoch it knows.
struct Learn { };

struct Learned {
    Process self;
    std::optional<EpochRecord> record;
};

/// @brief Asks a grantor for a lease.
struct Renew {
    Epoch epoch { 0 };
    Process holder;
    std::uint64_t grantorStarted { 0 };
};

struct Renewed {
    bool granted { false };
    std::optional<EpochRecord> newer; ///< What the grantor knows, if it is of a later epoch.
};

/// @brief Orders a grantor to grant no more leases of epochs before one.
struct Close {
    Epoch before { 0 };
    std::uint64_t grantorStarted { 0 };
};

struct Closed {
    bool sameProcess { false }; ///< False proves that the grantor asked for has ended.
    std::vector<Process> holders; ///< All to which it granted a lease.
};

/// @brief Asks a holder what it holds and stops its transfers, so that it can be taken over into an epoch.
struct Move {
    Epoch into { 0 };
    std::uint64_t holderStarted { 0 };
};

struct Moved {
    bool held { false }; ///< The holder's lease was valid; else it holds nothing.
    Counts counts;
};

/// @brief Takes a holder over into an epoch with what it holds there.
struct Open {
    EpochRecord record;
    std::uint64_t holderStarted { 0 };
    Counts counts;
};

struct Opened { };

/// @brief Asks a peer for some of its share of an upstream.
struct Take {
    Epoch epoch { 0 };
    std::uint64_t id { 0 }; ///< Together with `by`; a repeat gets the first answer.
    Process by;
    group::UpstreamId upstream;
    std::uint32_t want { 0 };
    std::uint32_t held { 0 }; ///< What the asking daemon holds already.
    bool urgent { false }; ///< Statements are waiting; otherwise it only evens out.
    bool mayWait { false }; ///< The answer may be held back until share in use is free.
};

struct Taken {
    std::uint32_t given { 0 };
    std::uint32_t held { 0 }; ///< What the giving daemon has left, in use or not.
};

using Request = std::variant<Learn, Renew, Close, Move, Open, Take>;
using Response = std::variant<Learned, Renewed, Closed, Moved, Opened, Taken>;

}
