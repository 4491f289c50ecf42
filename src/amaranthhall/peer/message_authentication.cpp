#include "amaranthhall/peer/message_authentication.hpp"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace amaranthhall::peer {

namespace {

    constexpr std::size_t nonceSize = 16;

    std::string toHex(std::span<const unsigned char> bytes)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        for (const auto byte : bytes) {
            text += digits[byte >> 4U];
            text += digits[byte & 0xfU];
        }
        return text;
    }

    std::string computeHmac(std::string_view key, std::string_view text)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        unsigned int length = 0;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &length);
        return toHex(std::span(digest).first(length));
    }

    /// Appends a field with a length prefix, so that different lists of fields never produce the same signed text.
    void appendField(std::string& text, std::string_view field)
    {
        text += std::to_string(field.size());
        text += ':';
        text += field;
    }

    bool isEqual(std::string_view left, std::string_view right)
    {
        return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
    }

}

std::string signCall(std::string_view key, const MessageAuthentication& authentication, std::string_view body)
{
    std::string text;
    const auto sent = std::to_string(authentication.sent.count());
    for (const std::string_view field : { std::string_view("call"), std::string_view(authentication.sender), std::string_view(authentication.recipient), std::string_view(authentication.nonce), std::string_view(sent), body })
        appendField(text, field);
    return computeHmac(key, text);
}

std::string signResponse(std::string_view key, std::string_view nonce, std::string_view body)
{
    std::string text;
    for (const auto field : { std::string_view("answer"), nonce, body })
        appendField(text, field);
    return computeHmac(key, text);
}

bool verifyCall(std::span<const std::string> keys, const MessageAuthentication& authentication, std::string_view body)
{
    return std::any_of(keys.begin(), keys.end(), [&](const auto& key) { return isEqual(signCall(key, authentication, body), authentication.signature); });
}

bool verifyResponse(std::span<const std::string> keys, std::string_view nonce, std::string_view body, std::string_view signature)
{
    return std::any_of(keys.begin(), keys.end(), [&](const auto& key) { return isEqual(signResponse(key, nonce, body), signature); });
}

std::string makeNonce()
{
    std::array<unsigned char, nonceSize> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("RAND_bytes failed to generate a nonce");
    return toHex(bytes);
}

}
