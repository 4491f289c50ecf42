#pragma once

#include "amaranthhall/table/stage.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::table {

/// @brief Writes the head row.
[[nodiscard]] std::string encodeHead(const Head& head);

/**
 * @brief Reads the head row; gives nothing if it is malformed.
 * @param text Value of the row; empty while the row does not exist, which is the empty table.
 * @param rowVersion Version of the row, which is the number of what it holds staged.
 */
[[nodiscard]] std::optional<Head> decodeHead(std::string_view text, StageNumber rowVersion);

/// @brief Writes a report for a peer.
[[nodiscard]] nlohmann::json encodeReport(const Report& report);

/// @brief Reads a report of a peer; gives nothing if it is malformed.
[[nodiscard]] std::optional<Report> decodeReport(const nlohmann::json& json);

/// @brief Writes a stage with its rows.
[[nodiscard]] nlohmann::json encodeStage(const Stage& stage);

/// @brief Reads a stage; gives nothing if it is malformed.
[[nodiscard]] std::optional<Stage> decodeStage(const nlohmann::json& json);

}
