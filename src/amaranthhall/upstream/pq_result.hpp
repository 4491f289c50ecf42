#pragma once

#include "amaranthhall/group/upstream_status.hpp"
#include "amaranthhall/pgwire/error_fields.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"

#include <libpq-fe.h>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace amaranthhall::upstream::internal {

/// @brief Frees a result of libpq.
struct ResultCloser {
    void operator()(PGresult* result) const noexcept { PQclear(result); }
};

/// @brief An owned result of libpq.
using ResultHandle = std::unique_ptr<PGresult, ResultCloser>;

/// @brief Copies all fields of an error or notice.
[[nodiscard]] pgwire::ErrorFields readErrorFields(const PGresult& result);

/**
 * @brief Turns libpq's message of a failed connect into fields.
 * @param message The message, written at verbosity PQERRORS_VERBOSE, which carries the upstream's SQLSTATE.
 * @return The fields; SQLSTATE 08001 if the upstream gave none.
 */
[[nodiscard]] pgwire::ErrorFields readConnectError(std::string_view message);

/// @brief Describes the columns of a result.
void readColumns(const PGresult& result, std::vector<pgwire::Column>& columns);

/// @brief Reads one row; the views hold as long as the result.
void readRow(const PGresult& result, int row, std::vector<pgwire::Value>& values);

/// @brief Gives the state of a connection's transaction.
[[nodiscard]] pgwire::TransactionStatus readTransaction(const PGconn* connection) noexcept;

/// @brief Reads the answer to the status query; gives nothing if it has another shape.
[[nodiscard]] std::optional<group::UpstreamStatus> readStatus(const PGresult& result);

}
