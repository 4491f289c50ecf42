#pragma once

#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::packing {

/// @brief Takes the bytes of a packed value.
class StringSink {
public:
    explicit StringSink(std::string& usedOutput) noexcept
        : output(usedOutput)
    {
    }

    void write(const char* bytes, std::size_t count) { this->output.append(bytes, count); }

private:
    std::string& output;
};

/// @brief Bounds of what is unpacked, so that a few bytes can't claim much memory.
struct UnpackLimits {
    std::size_t maximumElements { 65'536 }; ///< Of one list.
    std::size_t bytes { 16U << 20U }; ///< Of one text.
    std::size_t maximumDepth { 8 }; ///< Of lists within lists.
};

/// @brief Appends a value, such as a tuple of texts, numbers and lists, as MessagePack.
template <typename Value>
void append(std::string& output, const Value& value)
{
    StringSink sink(output);
    msgpack::pack(sink, value);
}

/// @brief Packs a value.
template <typename Value>
[[nodiscard]] std::string pack(const Value& value)
{
    std::string output;
    append(output, value);
    return output;
}

/**
 * @brief Restores what append() or pack() made.
 * @return Nothing if the bytes are not one whole value of that type.
 */
template <typename Value>
[[nodiscard]] std::optional<Value> unpack(std::string_view bytes, const UnpackLimits& limits = {})
{
    const auto referenceInput = [](msgpack::type::object_type, std::size_t, void*) { return true; };
    const msgpack::unpack_limit bounds(limits.maximumElements, limits.maximumElements, limits.bytes, limits.bytes, 0, limits.maximumDepth);
    try {
        std::size_t end = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, referenceInput, nullptr, bounds);
        if (end != bytes.size())
            return std::nullopt;
        return handle->template as<Value>();
    } catch (const std::exception&) { // the library throws several kinds, all of them for malformed bytes; the caller logs it
        return std::nullopt;
    }
}

}
