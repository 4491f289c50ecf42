#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::statement::internal {

/// @brief A parse tree as libpg_query writes it.
using Json = nlohmann::json;

/// @brief Parses a text; gives nothing if the parser refuses it, or if it is over 64 KB or nested too deeply.
[[nodiscard]] std::optional<Json> parseTree(const std::string& text);

/// @brief Lists the names of all functions that a tree calls, qualified as written and in lower case.
[[nodiscard]] std::vector<std::string> calledFunctions(const Json& tree);

/// @brief Tells whether a tree names a temporary relation.
[[nodiscard]] bool referencesTemporaryRelation(const Json& tree);

/// @brief Tells whether a tree holds nothing but node kinds that are known to change nothing and to take no lock.
[[nodiscard]] bool isReadOnlyTree(const Json& tree);

/// @brief Tells whether a function name is one of the upstreams' control functions.
[[nodiscard]] bool isControlFunction(std::string_view name) noexcept;

/// @brief Tells whether a text that the parser does not look into, such as a function's body, mentions a control function.
[[nodiscard]] bool mentionsControlFunction(std::string_view text);

/// @brief Tells whether a function is known to change nothing and to take no lock.
[[nodiscard]] bool isSafeFunction(std::string_view name) noexcept;

/// @brief Tells whether a function leaves state on the connection, such as an advisory lock.
[[nodiscard]] bool leavesSessionState(std::string_view name) noexcept;

}
