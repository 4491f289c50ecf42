#pragma once

#include "amaranthhall/pgwire/error_fields.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"
#include "amaranthhall/standin/upstream_server.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace amaranthhall::standin {

/// @brief A call of one of the upstream's control functions, such as `SELECT term FROM ah_status()`.
struct ControlCall {
    std::string function;
    std::vector<std::string> arguments;
    std::vector<std::string> columns; ///< Columns asked for, or only `*`.
};

/// @brief Recognises a control call; gives nothing for any other statement.
[[nodiscard]] std::optional<ControlCall> parseControlCall(std::string_view text);

/// @brief Result of a control call, its values as text.
struct SqlResult {
    std::vector<pgwire::Column> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    std::string tag;
};

/// @brief Answer of a control call.
using ControlResult = tl::expected<SqlResult, pgwire::ErrorFields>;

/**
 * @brief Tries to answer a control call.
 * @param isLast Set once the call has waited as long as it asked to; then an answer is given.
 * @return The answer, or nothing while the call has to wait for the log to grow.
 */
[[nodiscard]] std::optional<ControlResult> tryControlCall(UpstreamServer& server, const ControlCall& call, bool isLast);

/// @brief Gives how long a call wants to wait; zero for those that answer at once.
[[nodiscard]] std::chrono::milliseconds waitLimit(const ControlCall& call);

}
