#include "amaranthhall/hashing/key_digest.hpp"

#include <algorithm>
#include <cstring>
#include <openssl/sha.h>
#include <string>

namespace amaranthhall::hashing {

namespace {

    constexpr std::string_view digestContext = "amaranthhall api key\n"; // separates these digests from any other use of a key

}

KeyDigest digestOf(std::string_view key)
{
    const auto text = std::string(digestContext).append(key);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> full {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), full.data());
    KeyDigest digest {};
    std::copy_n(full.begin(), digest.size(), digest.begin());
    return digest;
}

std::size_t KeyDigestHash::operator()(const KeyDigest& digest) const noexcept
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

}
