#include "amaranthhall/session/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace amaranthhall::session {

namespace {

    const unsigned char* toBytes(std::string_view text) noexcept
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

    unsigned char* toBytes(std::string& text) noexcept
    {
        return reinterpret_cast<unsigned char*>(text.data());
    }

}

std::string sha256(std::string_view text)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(toBytes(text), text.size(), toBytes(digest));
    return digest;
}

std::string hmacSha256(std::string_view key, std::string_view text)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), toBytes(text), text.size(), toBytes(digest), &length);
    return digest;
}

bool equalSecrets(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    text.resize(static_cast<std::size_t>(EVP_EncodeBlock(toBytes(text), toBytes(bytes), static_cast<int>(bytes.size()))));
    return text;
}

std::string fromBase64(std::string_view text)
{
    if (text.empty() || text.size() % 4 != 0)
        return {};
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const auto length = EVP_DecodeBlock(toBytes(bytes), toBytes(text), static_cast<int>(text.size()));
    if (length < 0)
        return {};
    const auto padding = text.ends_with("==") ? 2U : (text.ends_with('=') ? 1U : 0U);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

}
