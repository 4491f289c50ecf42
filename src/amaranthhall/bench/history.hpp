#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace amaranthhall::bench {

/// @brief What a caller was told of a statement's fate.
enum class Told : std::uint8_t {
    Acknowledged,
    NotRun, ///< Any error but the one below.
    Unknown, ///< SQLSTATE 08007, or the connection broke.
};

/// @brief A write, or a transaction of two writes, as its caller saw it.
struct WriteRecord {
    std::string id; ///< Unique; each row that it inserts carries it.
    std::size_t caller { 0 };
    std::size_t instance { 0 };
    std::uint64_t sequence { 0 }; ///< Number of the write within its caller.
    std::uint32_t rows { 1 }; ///< Rows that it inserts: two for a transaction.
    bool keyed { false };
    Told told { Told::Unknown };
    Time arrived;
    Time ended;
};

/// @brief A read of a caller's own rows, as its caller saw it.
struct ReadRecord {
    std::size_t caller { 0 };
    std::size_t instance { 0 };
    bool acceptsAge { false };
    bool succeeded { false };
    bool hasOwnMarker { true }; ///< The answer carried the marker of its own request.
    std::uint64_t sequence { 0 }; ///< Newest write that the answer shows.
    std::uint64_t leastSequence { 0 }; ///< Newest write that it had to show.
    Time arrived;
    Time ended;
};

/// @brief All that the callers of a run did and were told.
struct History {
    std::vector<WriteRecord> writes;
    std::vector<ReadRecord> reads;
};

}
