#pragma once

#include "amaranthhall/engine/relay.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthhall::relay {

/// @brief A statement sent on a stream.
struct StatementFrame {
    std::uint64_t stream { 0 };
    engine::RelayedRequest request;
};

/// @brief The reply to a stream's statement.
struct ReplyFrame {
    std::uint64_t stream { 0 };
    engine::RelayedReply reply;
};

/// @brief Closes a stream.
struct EndFrame {
    std::uint64_t stream { 0 };
};

/// @brief Sent while statements are running or queued at the sender, so that a receiver can treat silence as a fault, and once by the accepting daemon.
struct KeepaliveFrame {
    std::uint32_t contextVersion { 0 }; ///< Version of the frames with contexts that the sender reads; 0 if it does not say. Earlier builds ignore it.
};

inline constexpr std::uint32_t currentContextVersion = 1;

using Frame = std::variant<StatementFrame, ReplyFrame, EndFrame, KeepaliveFrame>;

/**
 * @brief Contexts that were sent on a connection.
 *
 * The context of a statement is what many statements have in common: route, settings, prepared statement and identity. It is sent in full once and by its number
 * from then on, until its number is used for another one.
 */
class ContextSender {
public:
    static constexpr std::uint32_t maximumContexts = 128; ///< With maximumContextSize, bounds the memory of a connection to 128 KiB at each end.
    static constexpr std::size_t maximumContextSize = 1024; ///< In bytes; statements with a larger one carry it themselves.

    /// @brief The number of a context.
    struct Reference {
        std::uint32_t number { 0 };
        bool isNew { false }; ///< The context must be sent with the number.
    };

    /// @brief Returns the number of a context; std::nullopt if it is too large.
    [[nodiscard]] std::optional<Reference> refer(const std::string& context);

private:
    std::map<std::string, std::uint32_t> numbers; ///< By context.
    std::vector<std::map<std::string, std::uint32_t>::iterator> byNumber;
    std::uint32_t nextReplaced { 0 };
};

/// @brief Appends a statement whose context is sent only if the receiver does not have it; only for receivers that read frames with contexts.
void appendFrame(std::string& out, const StatementFrame& frame, ContextSender& contexts);

/// @brief Appends an encoded frame: a four-byte big-endian length, a one-byte type, then the content as MessagePack.
void appendFrame(std::string& out, const Frame& frame);

/// @brief Decodes frames from a stream of received bytes.
class FrameReader {
public:
    static constexpr std::size_t maximumFrameSize = 4U << 20U; ///< In bytes; larger than the longest statement or reply.

    void append(std::string_view bytes) { this->buffer.append(bytes); }

    /// @brief Returns the number of buffered bytes.
    [[nodiscard]] std::size_t size() const noexcept { return this->buffer.size() - this->readOffset; }

    /// @brief Returns the next complete frame; nothing if there is none yet or the input is malformed (see isMalformed()).
    [[nodiscard]] std::optional<Frame> next();

    /// @brief Returns whether the input was not a valid frame; the connection must then be closed.
    [[nodiscard]] bool isMalformed() const noexcept { return this->malformed; }

private:
    /// What statements have in common; see ContextSender.
    struct Context {
        catalog::Route route;
        std::map<std::string, std::string, std::less<>> settings;
        std::optional<engine::PreparedStatement> prepared;
        identity::Identity identity;
    };

    void consume(std::size_t count);
    [[nodiscard]] std::optional<Frame> decodeBody(std::string_view body);
    [[nodiscard]] std::optional<Frame> decodeStatementInContext(std::string_view bytes);
    [[nodiscard]] static std::optional<Context> decodeContext(std::string_view bytes);

    std::vector<Context> contexts; ///< By number.
    std::string buffer;
    std::size_t readOffset { 0 };
    bool malformed { false };
};

}
