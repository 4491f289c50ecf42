#include "amaranthhall/standin/sql_value.hpp"

#include <algorithm>
#include <bit>
#include <cctype>
#include <charconv>
#include <limits>

namespace amaranthhall::standin {

namespace {

    std::string encodeInteger(std::uint64_t value, std::size_t length)
    {
        std::string bytes;
        for (auto i = length; i > 0; --i)
            bytes.push_back(static_cast<char>((value >> ((i - 1) * 8)) & 0xffU));
        return bytes;
    }

    std::uint64_t decodeUnsigned(std::string_view bytes)
    {
        std::uint64_t value = 0;
        for (const unsigned char byte : bytes)
            value = (value << 8U) | byte;
        return value;
    }

    template <typename Number>
    std::optional<Number> parseNumber(std::string_view text)
    {
        Number value {};
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    template <typename Number>
    std::optional<std::string> encodeFitting(std::string_view text)
    {
        const auto value = parseNumber<Number>(text);
        if (!value)
            return std::nullopt;
        return encodeInteger(static_cast<std::uint64_t>(*value), sizeof(Number));
    }

    std::string formatDouble(double value)
    {
        std::string text(32, '\0');
        const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
        text.resize(error == std::errc() ? static_cast<std::size_t>(end - text.data()) : 0);
        return text;
    }

    std::string toHex(std::string_view bytes)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text("\\x");
        for (const unsigned char byte : bytes) {
            text.push_back(digits[byte >> 4U]);
            text.push_back(digits[byte & 0xfU]);
        }
        return text;
    }

    std::optional<std::string> fromHex(std::string_view text)
    {
        if (!text.starts_with("\\x") || text.size() % 2 != 0)
            return std::nullopt;
        std::string bytes;
        for (std::size_t i = 2; i < text.size(); i += 2) {
            unsigned int byte = 0;
            const auto [end, error] = std::from_chars(text.data() + i, text.data() + i + 2, byte, 16);
            if (error != std::errc() || end != text.data() + i + 2)
                return std::nullopt;
            bytes.push_back(static_cast<char>(byte));
        }
        return bytes;
    }

    /// Gives the length of a sequence by its first byte, or 0 if none begins so.
    std::size_t sequenceLength(unsigned char lead)
    {
        if (lead < 0x80)
            return 1;
        if (lead >= 0xc2 && lead < 0xe0)
            return 2;
        if (lead >= 0xe0 && lead < 0xf0)
            return 3;
        return lead >= 0xf0 && lead < 0xf5 ? 4 : 0;
    }

    bool isTrue(std::string_view text)
    {
        return text == "t" || text == "1" || text == "true";
    }

}

std::int32_t typeOfDeclaration(std::string_view declaration)
{
    std::string upper(declaration);
    std::ranges::transform(upper, upper.begin(), [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    const auto says = [&](std::string_view part) { return upper.find(part) != std::string::npos; };
    if (says("BOOL"))
        return type::boolean;
    if (says("BIGINT") || says("INT8"))
        return type::int8;
    if (says("SMALLINT") || says("INT2"))
        return type::int2;
    if (says("INT"))
        return type::int4;
    if (says("REAL") || says("DOUBLE") || says("FLOAT"))
        return type::float8;
    if (says("VARCHAR"))
        return type::varchar;
    return says("BYTEA") || says("BLOB") ? type::bytea : type::text;
}

std::int16_t lengthOfType(std::int32_t id) noexcept
{
    switch (id) {
    case type::boolean:
        return 1;
    case type::int2:
        return 2;
    case type::int4:
    case type::float4:
        return 4;
    case type::int8:
    case type::float8:
        return 8;
    default:
        return -1;
    }
}

bool isUtf8(std::string_view text) noexcept
{
    for (std::size_t i = 0; i < text.size();) {
        const auto length = sequenceLength(static_cast<unsigned char>(text[i]));
        if (length == 0 || i + length > text.size())
            return false;
        for (std::size_t next = i + 1; next < i + length; ++next) {
            if ((static_cast<unsigned char>(text[next]) & 0xc0U) != 0x80U)
                return false;
        }
        i += length;
    }
    return true;
}

std::optional<std::string> decodeBinary(std::int32_t id, std::string_view bytes)
{
    const auto length = lengthOfType(id);
    if (id == type::bytea)
        return toHex(bytes);
    if (length < 0)
        return std::string(bytes);
    if (bytes.size() != static_cast<std::size_t>(length))
        return std::nullopt;
    const auto value = decodeUnsigned(bytes);
    switch (id) {
    case type::boolean:
        return value != 0 ? "1" : "0";
    case type::int2:
        return std::to_string(static_cast<std::int16_t>(value));
    case type::int4:
        return std::to_string(static_cast<std::int32_t>(value));
    case type::float4:
        return formatDouble(std::bit_cast<float>(static_cast<std::uint32_t>(value)));
    case type::float8:
        return formatDouble(std::bit_cast<double>(value));
    default:
        return std::to_string(static_cast<std::int64_t>(value));
    }
}

std::optional<std::string> encodeBinary(std::int32_t id, std::string_view text)
{
    switch (id) {
    case type::bytea:
        return fromHex(text);
    case type::boolean:
        return std::string(1, isTrue(text) ? '\1' : '\0');
    case type::int2:
        return encodeFitting<std::int16_t>(text);
    case type::int4:
        return encodeFitting<std::int32_t>(text);
    case type::int8:
        return encodeFitting<std::int64_t>(text);
    case type::float4:
    case type::float8: {
        const auto value = parseNumber<double>(text);
        if (!value)
            return std::nullopt;
        if (id == type::float8)
            return encodeInteger(std::bit_cast<std::uint64_t>(*value), sizeof(double));
        return encodeInteger(std::bit_cast<std::uint32_t>(static_cast<float>(*value)), sizeof(float));
    }
    default:
        return std::string(text);
    }
}

}
