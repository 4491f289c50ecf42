#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace amaranthhall::pgwire {

/// @brief Reads the fields of a message body in sequence; a read returns nothing if the rest of the body is too short.
class FieldReader {
public:
    explicit FieldReader(std::string_view content) noexcept
        : body(content)
    {
    }

    [[nodiscard]] std::optional<char> byte() noexcept;

    /// @brief Reads a big-endian 16-bit integer.
    [[nodiscard]] std::optional<std::int16_t> int16() noexcept;

    /// @brief Reads a big-endian 32-bit integer.
    [[nodiscard]] std::optional<std::int32_t> int32() noexcept;

    /// @brief Reads a null-terminated string.
    [[nodiscard]] std::optional<std::string_view> text() noexcept;

    /// @brief Reads `count` raw bytes.
    [[nodiscard]] std::optional<std::string_view> bytes(std::size_t count) noexcept;

    /// @brief Returns whether the whole body has been read.
    [[nodiscard]] bool atEnd() const noexcept { return this->body.empty(); }

    /// @brief Returns the unread part of the body.
    [[nodiscard]] std::string_view rest() const noexcept { return this->body; }

private:
    std::string_view body;
};

}
