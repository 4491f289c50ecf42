#pragma once

#include "amaranthhall/pgwire/error.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhall::pgwire {

/// @brief A protocol message: its type, and its body without type and length.
struct Frame {
    char type { 0 }; ///< 0 for messages without a type byte, which are sent during startup.
    std::string_view body; ///< Valid until the next call of FrameReader::append().
};

/// @brief Splits a byte stream into messages of PostgreSQL protocol 3.0 (PostgreSQL documentation, "Message Formats").
class FrameReader {
public:
    /// @brief Creates a reader that rejects message bodies of more than `maximumBodySize` bytes.
    explicit FrameReader(std::size_t maximumBodySize) noexcept;

    /// @brief Appends received bytes to the buffer.
    void append(std::string_view bytes);

    /// @brief Returns the next message with a type byte, nothing if it is incomplete, or an error after which the stream is unusable.
    [[nodiscard]] tl::expected<std::optional<Frame>, WireError> nextTyped();

    /// @brief Same as nextTyped(), for the messages of the startup phase, which have no type byte.
    [[nodiscard]] tl::expected<std::optional<Frame>, WireError> nextUntyped();

    /// @brief Returns the number of buffered bytes that have not been returned as messages.
    [[nodiscard]] std::size_t unreadBytes() const noexcept;

private:
    [[nodiscard]] tl::expected<std::optional<Frame>, WireError> next(std::size_t typeLength);

    std::string buffer;
    std::size_t consumed { 0 };
    std::size_t maximumBodySize;
};

}
