#pragma once

#include "amaranthhall/upstream/link.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::session {

/// @brief What the database keeps of a request key: one digest and one tag for each statement of its transaction.
struct KeyRecord {
    std::vector<std::string> digests;
    std::vector<std::string> tags;
};

/// @brief A session's work under a request key.
struct KeyProgress {
    std::string key; ///< Empty for none.
    KeyRecord done; ///< Statements of this run.
    std::optional<KeyRecord> recorded; ///< Set while the statements of an earlier run are repeated.
    bool isOpen { false }; ///< The key's row is in the open transaction.
};

/// @brief Digests a statement with its parameters.
[[nodiscard]] std::string digestQuery(const upstream::Query& query);

[[nodiscard]] std::string joinLines(const std::vector<std::string>& lines);
[[nodiscard]] std::vector<std::string> splitLines(std::string_view text);

/// @brief Builds the query that makes the table of keys.
[[nodiscard]] upstream::Query makeKeyTableQuery();

/// @brief Builds the queries that open a transaction, look a key up and insert it.
[[nodiscard]] upstream::Batch makeKeyOpening(const std::string& key, std::int64_t epochSeconds);

/// @brief Builds the query that records what was done under a key.
[[nodiscard]] upstream::Query makeKeyRecording(const std::string& key, const KeyRecord& record);

/// @brief Builds the query that drops keys older than the time for which repeats are recognised.
[[nodiscard]] upstream::Query makeKeyPruning(std::int64_t epochSeconds);

}
