#pragma once

#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/group/upstream_status.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace amaranthhall::standin {

/// @brief A parameter in text format; nothing is NULL.
struct LoggedParameter {
    std::optional<std::string> value;
    std::int32_t type { 0 }; ///< Object id of its type; 0 if it was left open.
};

/// @brief A statement as the log keeps it.
struct LoggedStatement {
    std::string text;
    std::vector<LoggedParameter> parameters;
};

/// @brief One committed transaction.
struct LogRecord {
    group::Term term { 0 };
    std::vector<LoggedStatement> statements;
};

/// @brief Part of a primary's log that is sent to a replica.
struct Feed {
    group::Term term { 0 };
    group::LogPoint previous; ///< The record before the first one sent.
    group::Position end { 0 }; ///< End of the primary's log.
    std::vector<LogRecord> records;
};

/// @brief A replica's answer to a feed.
struct FeedAnswer {
    bool accepted { false };
    group::Term term { 0 };
    group::Position position { 0 }; ///< Accepted: the log's end. Refused: where to try next.
    bool truncated { false }; ///< Records after the common part were dropped.
};

/// @brief An upstream's log, its role and the highest term that it has accepted; no I/O.
class GroupLog {
public:
    /// @brief Gives the role, term and last record.
    [[nodiscard]] group::UpstreamStatus status() const noexcept;

    /// @brief Tells whether the log up to a position is known to be that of a term's primary, and the term is still the highest accepted.
    [[nodiscard]] bool confirms(group::Term term, group::Position position) const noexcept;

    /// @brief Gives the point of a record; position 0 is the empty log.
    [[nodiscard]] group::LogPoint pointAt(group::Position position) const noexcept;

    [[nodiscard]] std::span<const LogRecord> records() const noexcept { return this->log; }

    /// @brief Appends a transaction in the present term.
    /// @warning The upstream must be primary.
    group::LogPoint append(std::vector<LoggedStatement> statements);

    /// @brief Accepts a term once, if it is higher than any before; a primary thereby stops being one.
    bool fence(group::Term term) noexcept;

    /// @brief Becomes primary in a term that it was fenced at, or in the first term of an empty group.
    bool promote(group::Term term) noexcept;

    /// @brief Takes records from a primary, if its term is not lower than any accepted, and drops what contradicts them.
    FeedAnswer takeFeed(const Feed& feed);

    /// @brief Cuts the records from a position on for a replica.
    [[nodiscard]] Feed makeFeed(group::Position after, std::size_t most) const;

private:
    /// Drops records after the end of the primary's log, if they are of an earlier term.
    bool dropTail(const Feed& feed, group::Position position);

    std::vector<LogRecord> log;
    group::Term term { 0 };
    group::Role role { group::Role::Replica };
    group::Position matched { 0 }; ///< Records that are known to be those of the present term's primary.
};

}
