#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace amaranthhall::bench {

/// @brief Writes the figures of a result that matter most, one a line.
[[nodiscard]] std::string summarize(const nlohmann::json& result);

/// @brief Writes a result as Markdown, with a link to `timeline.svg`.
[[nodiscard]] std::string writeReport(const nlohmann::json& result);

/// @brief Draws writes, reads and refusals of each second, and the faults, as SVG.
[[nodiscard]] std::string plotTimeline(const nlohmann::json& result);

/// @brief Writes two results side by side, each figure with the ratio of the second to the first.
[[nodiscard]] std::string compareResults(const nlohmann::json& first, const nlohmann::json& second);

}
