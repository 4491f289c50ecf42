#pragma once

#include "amaranthhall/statement/classification.hpp"
#include "amaranthhall/upstream/link.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranthhall::session {

/// @brief What of a query's answer the caller is to see.
enum class ReplyKind : std::uint8_t {
    Rows, ///< Rows and a command tag.
    Nothing, ///< Only errors.
    Statement, ///< Parameters and columns.
    Portal, ///< Columns.
};

/// @brief One query and the frames around its answer.
struct Step {
    upstream::Query query;
    statement::Classification statement;
    ReplyKind reply { ReplyKind::Rows };
    std::string prefix; ///< Frames that come before the answer unless the query fails.
    bool describesRows { false }; ///< Rows are preceded by their description.
    bool saysNoData { false }; ///< A description without columns is told as NoData.
    std::int32_t rowLimit { 0 }; ///< Rows after which the portal is suspended; 0 for none.
    std::string portal; ///< With a row limit, the portal that keeps the rest.
    std::vector<std::int16_t> formats; ///< Of the columns of a described portal.
};

/// @brief Queries that go to one link together.
struct Work {
    std::vector<Step> steps;
    std::string suffix; ///< Frames that come after the last answer unless a query fails.
    bool endsCycle { true }; ///< ReadyForQuery follows.
    bool isCopy { false }; ///< The one step is a COPY of the simple protocol.
};

/// @brief Tells whether a step runs its statement, rather than preparing or describing it.
[[nodiscard]] bool runs(const Step& step) noexcept;

/// @brief Tells whether a work runs a statement of a kind.
[[nodiscard]] bool runsKind(const Work& work, statement::StatementKind kind) noexcept;

/// @brief Tells whether a work runs a statement that may change data.
[[nodiscard]] bool changesData(const Work& work) noexcept;

/// @brief Tells whether a statement is surely a read, or changes no more than the session.
[[nodiscard]] bool isReadOnly(const statement::Classification& statement) noexcept;

/// @brief Tells whether all steps of a work are read-only.
[[nodiscard]] bool isReadOnly(const Work& work) noexcept;

/// @brief Tells whether a work may end a transaction that was open before it, or one that it opened.
[[nodiscard]] bool mayCommit(const Work& work) noexcept;

}
