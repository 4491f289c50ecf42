#pragma once

#include "amaranthhall/engine/reply_code.hpp"
#include "amaranthhall/group/log_point.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::engine {

/// @brief State of a transaction, as upstreams and callers are told it.
enum class TransactionState : std::uint8_t {
    Idle,
    Open,
    Failed,
};

/// @brief The whole answer to one statement.
struct Reply {
    std::vector<std::string> rows;
    std::string digest; ///< Of the upstream, passed on to the caller.
    ReplyCode code { ReplyCode::None };
    std::string detail; ///< Text of an error.
    TransactionState state { TransactionState::Idle };
    std::optional<group::LogPoint> point; ///< The upstream's log, if told.
    bool lost { false }; ///< The connection ended before the answer did.
    bool isLeaderUnreachable { false }; ///< A refusal of this daemon alone, which does not reach the leader; others may.

    [[nodiscard]] bool succeeded() const noexcept { return !this->lost && this->code == ReplyCode::None; }
};

}
