#include "amaranthhall/pgwire/frame.hpp"

#include "amaranthhall/pgwire/fields.hpp"

namespace amaranthhall::pgwire {

namespace {

    constexpr std::size_t lengthFieldSize = 4;
    constexpr std::size_t compactionThreshold = 65536; // consumed bytes after which append() erases them from the buffer

}

FrameReader::FrameReader(std::size_t maximum) noexcept
    : maximumBodySize(maximum)
{
}

void FrameReader::append(std::string_view bytes)
{
    if (this->consumed == this->buffer.size() || this->consumed > compactionThreshold) {
        this->buffer.erase(0, this->consumed);
        this->consumed = 0;
    }
    this->buffer.append(bytes);
}

tl::expected<std::optional<Frame>, WireError> FrameReader::nextTyped()
{
    return this->next(1);
}

tl::expected<std::optional<Frame>, WireError> FrameReader::nextUntyped()
{
    return this->next(0);
}

std::size_t FrameReader::unreadBytes() const noexcept
{
    return this->buffer.size() - this->consumed;
}

tl::expected<std::optional<Frame>, WireError> FrameReader::next(std::size_t typeLength)
{
    const auto available = std::string_view(this->buffer).substr(this->consumed);
    if (available.size() < typeLength + lengthFieldSize)
        return std::nullopt;
    FieldReader header(available.substr(typeLength, lengthFieldSize));
    const auto length = static_cast<std::size_t>(static_cast<std::uint32_t>(header.int32().value_or(0)));
    if (length < lengthFieldSize)
        return tl::unexpected(WireError::Malformed);
    if (length - lengthFieldSize > this->maximumBodySize)
        return tl::unexpected(WireError::Oversized);
    if (available.size() < typeLength + length)
        return std::nullopt;
    this->consumed += typeLength + length;
    return Frame {
        .type = typeLength == 0 ? '\0' : available.front(),
        .body = available.substr(typeLength + lengthFieldSize, length - lengthFieldSize),
    };
}

}
