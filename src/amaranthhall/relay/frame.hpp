#pragma once

#include "amaranthhall/engine/relay.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace amaranthhall::relay {

/// @brief A statement on a stream.
struct StatementFrame {
    std::uint64_t stream { 0 };
    engine::RelayedRequest request;
};

/// @brief The answer to a stream's statement.
struct ReplyFrame {
    std::uint64_t stream { 0 };
    engine::RelayedReply reply;
};

/// @brief The end of a stream.
struct EndFrame {
    std::uint64_t stream { 0 };
};

/// @brief Tells that statements are at work or wait there, so that silence means a fault.
struct KeepaliveFrame { };

using Frame = std::variant<StatementFrame, ReplyFrame, EndFrame, KeepaliveFrame>;

/// @brief Appends a frame: its length in four bytes, the most significant first, its type in one, then its content as MessagePack.
void appendFrame(std::string& out, const Frame& frame);

/// @brief Splits received bytes into frames.
class FrameReader {
public:
    static constexpr std::size_t maximumFrameSize = 4U << 20U; ///< Bytes; above what the longest statement or answer takes.

    void append(std::string_view bytes) { this->buffer.append(bytes); }

    /// @brief Gives the next whole frame; nothing if none is whole, or if isBroken() from now on.
    [[nodiscard]] std::optional<Frame> next();

    /// @brief Tells whether the bytes were no frames; the connection is of no more use.
    [[nodiscard]] bool isMalformed() const noexcept { return this->malformed; }

private:
    void consume(std::size_t count);

    std::string buffer;
    std::size_t readOffset { 0 };
    bool malformed { false };
};

}
