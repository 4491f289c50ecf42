#pragma once

#include "amaranthhall/engine/reply_code.hpp"
#include "amaranthhall/group/log_point.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::engine {

/// @brief State of a transaction, as reported by upstreams and to callers.
enum class TransactionState : std::uint8_t {
    Idle,
    Open,
    Failed,
};

/// @brief The complete reply to one statement.
struct Reply {
    std::vector<std::string> rows;
    std::string digest; ///< Digest sent by the upstream, forwarded to the caller.
    ReplyCode code { ReplyCode::None };
    std::string detail; ///< Error message.
    TransactionState state { TransactionState::Idle };
    std::optional<group::LogPoint> point; ///< Position of the upstream's log, if reported.
    bool lost { false }; ///< The connection was lost before the reply was complete.
    bool isLeaderUnreachable { false }; ///< Refused because this daemon does not reach the leader; other daemons may reach it.

    [[nodiscard]] bool succeeded() const noexcept { return !this->lost && this->code == ReplyCode::None; }
};

}
