#pragma once

#include "amaranthhall/pgwire/error_fields.hpp"
#include "amaranthhall/statement/classification.hpp"

#include <optional>

namespace amaranthhall::session {

/**
 * @brief Tells why a statement is refused before any upstream sees it.
 * @param inTransaction The statement runs within a transaction of the caller.
 */
[[nodiscard]] std::optional<pgwire::ErrorFields> refuseKind(const statement::Classification& statement, bool inTransaction);

/// @brief Tells whether a statement is for the daemon alone, such as a SET of one of its own parameters.
[[nodiscard]] bool isOwnStatement(const statement::Classification& statement) noexcept;

}
