#pragma once

#include "amaranthhall/catalog/upstream_entry.hpp"
#include "amaranthhall/engine/reply.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::engine {

/// @brief What is sent to an upstream.
struct Command {
    /// @brief Kinds that need no text of a caller.
    enum class Kind : std::uint8_t {
        Forwarded, ///< The text goes on unchanged.
        Begin,
        Rollback,
        Reset, ///< Clears settings and prepared statements.
        Set, ///< `name` and `value`.
        PrepareRead, ///< `name` and shape in `value`.
        PrepareWrite, ///< As PrepareRead.
        Execute, ///< `name` and arguments in `value`.
        Status,
    };

    Kind kind { Kind::Forwarded };
    std::string_view id; ///< Of the caller's request; empty for statements of the daemon itself.
    std::string_view text;
    std::string_view name;
    std::string_view value;
    std::optional<group::LogPoint> after; ///< The statement runs only on a log that holds this position.
};

/// @brief A connection to an upstream; replies come in the order of the commands.
class Link {
public:
    using Done = std::function<void(Reply)>;

    Link() = default;
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;
    virtual ~Link() = default;

    /**
     * @brief Sends a command.
     * @param done Called once with the whole answer, or with a lost one; never from within send().
     */
    virtual void send(const Command& command, Done done) = 0;

    /// @brief Closes at once; outstanding commands are not answered any more.
    virtual void close() = 0;
};

/// @brief What an upstream tells of itself when asked.
struct UpstreamStatus {
    bool isPrimary { false };
    group::Term term { 0 }; ///< Newest term that it knows; its log may still end in an entry of an earlier one.
    group::LogPoint received; ///< End of its log.
    group::LogPoint applied; ///< What its reads show; a replica that was promoted may still lag behind what it has received.
};

/// @brief How an opening ended.
struct OpenResult {
    std::unique_ptr<Link> link; ///< Empty if it failed.
    ReplyCode code { ReplyCode::None }; ///< Error of the upstream, if it answered.
    bool refused { false }; ///< The address refused the connection at once.
};

/// @brief Opens links; the platform's adapter and test doubles implement it.
class LinkFactory {
public:
    using Opened = std::function<void(OpenResult)>;

    /// @brief Cancels the opening when it is destroyed.
    class Opening {
    public:
        Opening() = default;
        Opening(const Opening&) = delete;
        Opening& operator=(const Opening&) = delete;
        virtual ~Opening() = default;
    };

    LinkFactory() = default;
    LinkFactory(const LinkFactory&) = delete;
    LinkFactory& operator=(const LinkFactory&) = delete;
    virtual ~LinkFactory() = default;

    /**
     * @brief Begins to open a link.
     * @param opened Called once, never from within open(), unless the opening is destroyed before.
     * @param closed Called once if the link ends later without close().
     */
    [[nodiscard]] virtual std::unique_ptr<Opening> open(const catalog::UpstreamEntry& upstream, Duration timeout, Opened opened, std::function<void()> closed) = 0;

    /// @brief Reads the answer to a status command; gives nothing if it can't be read.
    [[nodiscard]] virtual std::optional<UpstreamStatus> readStatus(const Reply& reply) const = 0;
};

}
