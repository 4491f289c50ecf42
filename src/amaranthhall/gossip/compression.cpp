#include "amaranthhall/gossip/compression.hpp"

#include <array>
#include <new>
#include <zlib.h>

namespace amaranthhall::gossip {

namespace {

    constexpr std::size_t chunkSize = 32'768; // bytes

    const Bytef* toBytes(std::string_view text)
    {
        return reinterpret_cast<const Bytef*>(text.data());
    }

    /// @brief RAII wrapper of a zlib decompression stream.
    struct Inflater {
        explicit Inflater(std::string_view input)
        {
            this->stream.next_in = const_cast<Bytef*>(toBytes(input)); // zlib does not modify its input
            this->stream.avail_in = static_cast<uInt>(input.size());
            if (inflateInit(&this->stream) != Z_OK)
                throw std::bad_alloc();
        }
        Inflater(const Inflater&) = delete;
        Inflater& operator=(const Inflater&) = delete;
        ~Inflater() { inflateEnd(&this->stream); }

        z_stream stream {};
    };

}

std::string compress(std::string_view bytes)
{
    auto size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    // The buffer has the size of compressBound(), so compress2() can only fail for lack of memory.
    if (compress2(reinterpret_cast<Bytef*>(compressed.data()), &size, toBytes(bytes), bytes.size(), Z_BEST_SPEED) != Z_OK)
        throw std::bad_alloc();
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t maximum)
{
    Inflater inflater(compressed);
    std::string bytes;
    std::array<char, chunkSize> chunk {};
    int status = Z_OK;
    while (status == Z_OK) {
        inflater.stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        inflater.stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&inflater.stream, Z_NO_FLUSH);
        bytes.append(chunk.data(), chunk.size() - inflater.stream.avail_out);
        if (bytes.size() > maximum)
            return std::nullopt;
    }
    return status == Z_STREAM_END ? std::optional(std::move(bytes)) : std::nullopt;
}

}
