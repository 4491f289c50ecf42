#pragma once

#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::packing {

/// @brief Stream adapter through which msgpack appends to a string.
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

/// @brief Limits for unpacking, so that a short malformed input cannot cause large allocations.
struct UnpackLimits {
    std::size_t maximumElements { 65'536 }; ///< Elements of one array or map.
    std::size_t maximumBytes { 16U << 20U }; ///< Bytes of one string or binary value.
    std::size_t maximumDepth { 8 }; ///< Nesting depth of containers.
};

/// @brief Appends the MessagePack encoding of a value, such as a tuple of strings, numbers and vectors.
template <typename Value>
void append(std::string& output, const Value& value)
{
    StringSink sink(output);
    msgpack::pack(sink, value);
}

/// @brief Returns the MessagePack encoding of a value.
template <typename Value>
[[nodiscard]] std::string pack(const Value& value)
{
    std::string output;
    append(output, value);
    return output;
}

/**
 * @brief Decodes a value that append() or pack() encoded.
 * @return std::nullopt if the bytes are not exactly one complete value of the type.
 */
template <typename Value>
[[nodiscard]] std::optional<Value> unpack(std::string_view bytes, const UnpackLimits& limits = {})
{
    const auto referenceInput = [](msgpack::type::object_type, std::size_t, void*) { return true; };
    const msgpack::unpack_limit bounds(limits.maximumElements, limits.maximumElements, limits.maximumBytes, limits.maximumBytes, 0, limits.maximumDepth);
    try {
        std::size_t end = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, referenceInput, nullptr, bounds);
        if (end != bytes.size())
            return std::nullopt;
        return handle->template as<Value>();
    } catch (const std::exception&) { // msgpack throws several exception types, all of them for malformed input; the caller logs the failure
        return std::nullopt;
    }
}

}
