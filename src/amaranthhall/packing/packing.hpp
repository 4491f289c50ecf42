#pragma once

#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::packing {

/// @brief Takes the bytes of a packed value.
class TextSink {
public:
    explicit TextSink(std::string& usedOut) noexcept
        : out(usedOut)
    {
    }

    void write(const char* bytes, std::size_t count) { this->out.append(bytes, count); }

private:
    std::string& out;
};

/// @brief Bounds of what is unpacked, so that a few bytes can't claim much memory.
struct Limits {
    std::size_t elements { 65'536 }; ///< Of one list.
    std::size_t bytes { 16U << 20U }; ///< Of one text.
    std::size_t depth { 8 }; ///< Of lists within lists.
};

/// @brief Appends a value, such as a tuple of texts, numbers and lists, as MessagePack.
template <typename Value>
void append(std::string& out, const Value& value)
{
    TextSink sink(out);
    msgpack::pack(sink, value);
}

/// @brief Packs a value.
template <typename Value>
[[nodiscard]] std::string pack(const Value& value)
{
    std::string out;
    append(out, value);
    return out;
}

/**
 * @brief Restores what append() or pack() made.
 * @return Nothing if the bytes are not one whole value of that type.
 */
template <typename Value>
[[nodiscard]] std::optional<Value> unpack(std::string_view bytes, const Limits& limits = {})
{
    const auto refer = [](msgpack::type::object_type, std::size_t, void*) { return true; };
    const msgpack::unpack_limit bounds(limits.elements, limits.elements, limits.bytes, limits.bytes, 0, limits.depth);
    try {
        std::size_t end = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, refer, nullptr, bounds);
        if (end != bytes.size())
            return std::nullopt;
        return handle->template as<Value>();
    } catch (const std::exception&) { // the library throws several kinds, all of them for malformed bytes; the caller logs it
        return std::nullopt;
    }
}

}
