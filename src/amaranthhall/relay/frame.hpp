#pragma once

#include "amaranthhall/engine/relay.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

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

/// @brief Sent while statements are running or queued at the sender, so that a receiver can treat silence as a fault.
struct KeepaliveFrame { };

using Frame = std::variant<StatementFrame, ReplyFrame, EndFrame, KeepaliveFrame>;

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
    void consume(std::size_t count);

    std::string buffer;
    std::size_t readOffset { 0 };
    bool malformed { false };
};

}
