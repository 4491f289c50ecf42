#pragma once

#include "amaranthhall/standin/group_log.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::standin {

/// @brief A COPY statement in text format.
struct CopyCommand {
    bool in { false };
    std::string table; ///< Name with an optional list of columns.
    std::string query; ///< For a COPY out: what to select.
};

/// @brief Recognises `COPY table FROM STDIN` and `COPY table|(query) TO STDOUT`.
[[nodiscard]] std::optional<CopyCommand> parseCopy(std::string_view text);

/// @brief Writes a row in COPY's text format, with its newline.
[[nodiscard]] std::string encodeCopyRow(std::span<const std::optional<std::string>> row);

/// @brief Reads a line of COPY's text format without its newline.
[[nodiscard]] std::vector<LoggedParameter> decodeCopyRow(std::string_view line);

/// @brief Gives the INSERT that stores one row of a COPY in.
[[nodiscard]] std::string makeCopyInsert(const CopyCommand& command, std::size_t columns);

}
