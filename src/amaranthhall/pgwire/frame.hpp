#pragma once

#include "amaranthhall/pgwire/error.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhall::pgwire {

/// @brief One message: its type and its body without type and length.
struct Frame {
    char type { 0 }; ///< 0 for the untyped messages of a session's start.
    std::string_view body; ///< Valid until the reader is next changed.
};

/// @brief Cuts a byte stream into messages of protocol 3.0 (PostgreSQL documentation, "Message Formats").
class FrameReader {
public:
    /// @brief Builds a reader that refuses bodies over a limit in bytes.
    explicit FrameReader(std::size_t maximumBodySize) noexcept;

    /// @brief Takes in bytes.
    void append(std::string_view bytes);

    /// @brief Gives the next typed message, nothing if it is not whole yet, or an error after which the stream is unusable.
    [[nodiscard]] tl::expected<std::optional<Frame>, WireError> nextTyped();

    /// @brief Gives the next untyped message of a session's start.
    [[nodiscard]] tl::expected<std::optional<Frame>, WireError> nextUntyped();

    /// @brief Gives the number of bytes taken in and not yet given out.
    [[nodiscard]] std::size_t unreadBytes() const noexcept;

private:
    [[nodiscard]] tl::expected<std::optional<Frame>, WireError> next(std::size_t typeLength);

    std::string buffer;
    std::size_t consumed { 0 };
    std::size_t maximumBodySize;
};

}
