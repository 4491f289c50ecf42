#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::standin {

/// @brief Object ids of the types that the stand-in knows (PostgreSQL catalog `pg_type`).
namespace type {
    constexpr std::int32_t boolean = 16;
    constexpr std::int32_t bytea = 17;
    constexpr std::int32_t int8 = 20;
    constexpr std::int32_t int2 = 21;
    constexpr std::int32_t int4 = 23;
    constexpr std::int32_t text = 25;
    constexpr std::int32_t float4 = 700;
    constexpr std::int32_t float8 = 701;
    constexpr std::int32_t varchar = 1043;
    constexpr std::int32_t numeric = 1700;
}

/// @brief Gives the type that a column's declaration stands for.
[[nodiscard]] std::int32_t typeOfDeclaration(std::string_view declaration);

/// @brief Gives a type's length in bytes, or -1 if it varies.
[[nodiscard]] std::int16_t lengthOfType(std::int32_t type) noexcept;

/// @brief Tells whether bytes are text in UTF-8.
[[nodiscard]] bool isUtf8(std::string_view text) noexcept;

/// @brief Turns a parameter in binary format into text; gives nothing if the bytes do not fit the type.
[[nodiscard]] std::optional<std::string> decodeBinary(std::int32_t type, std::string_view bytes);

/// @brief Turns a value in text format into the binary format of its type; gives nothing if it does not fit.
[[nodiscard]] std::optional<std::string> encodeBinary(std::int32_t type, std::string_view text);

}
