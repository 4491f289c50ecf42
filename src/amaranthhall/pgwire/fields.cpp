#include "amaranthhall/pgwire/fields.hpp"

namespace amaranthhall::pgwire {

namespace {

    std::uint32_t readBigEndian(std::string_view bytes) noexcept
    {
        std::uint32_t value = 0;
        for (const unsigned char byte : bytes)
            value = (value << 8U) | byte;
        return value;
    }

}

std::optional<char> FieldReader::byte() noexcept
{
    const auto read = this->bytes(1);
    return read ? std::optional(read->front()) : std::nullopt;
}

std::optional<std::int16_t> FieldReader::int16() noexcept
{
    const auto read = this->bytes(sizeof(std::int16_t));
    return read ? std::optional(static_cast<std::int16_t>(readBigEndian(*read))) : std::nullopt;
}

std::optional<std::int32_t> FieldReader::int32() noexcept
{
    const auto read = this->bytes(sizeof(std::int32_t));
    return read ? std::optional(static_cast<std::int32_t>(readBigEndian(*read))) : std::nullopt;
}

std::optional<std::string_view> FieldReader::text() noexcept
{
    const auto end = this->body.find('\0');
    if (end == std::string_view::npos)
        return std::nullopt;
    const auto read = this->body.substr(0, end);
    this->body.remove_prefix(end + 1);
    return read;
}

std::optional<std::string_view> FieldReader::bytes(std::size_t count) noexcept
{
    if (count > this->body.size())
        return std::nullopt;
    const auto read = this->body.substr(0, count);
    this->body.remove_prefix(count);
    return read;
}

}
