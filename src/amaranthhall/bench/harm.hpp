#pragma once

#include "amaranthhall/bench/history.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace amaranthhall::bench {

/// @brief A row that was read back from the databases after a run.
struct StoredRow {
    std::string id;
    std::size_t caller { 0 };
    std::uint64_t sequence { 0 };
    std::uint32_t part { 0 }; ///< 0 or 1: which of a transaction's rows it is.
};

/// @brief Counts of broken promises; all have to be zero.
struct HarmCounts {
    std::uint64_t lost { 0 }; ///< Acknowledged, but missing.
    std::uint64_t doubled { 0 }; ///< Stored more often than written.
    std::uint64_t mixed { 0 }; ///< Half a transaction, another's row, or another's answer.
    std::uint64_t staleReads { 0 }; ///< A read missed a write that it had to show.
    std::uint64_t falseNotRun { 0 }; ///< Told "not run", but stored.

    friend bool operator==(const HarmCounts&, const HarmCounts&) = default;
};

/// @brief Compares what callers were told with what the databases hold.
[[nodiscard]] HarmCounts countHarm(const History& history, std::span<const StoredRow> rows);

}
