#include "amaranthhall/session/session_token.hpp"

#include "amaranthhall/session/digest.hpp"

#include <algorithm>
#include <charconv>
#include <vector>

namespace amaranthhall::session {

namespace {

    constexpr std::string_view version = "1";
    constexpr std::size_t partCount = 6;

    std::string describe(const SessionToken& token)
    {
        return std::string(version) + "/" + token.group.service + "/" + token.group.instance + "/" + std::to_string(token.point.term) + "/" + std::to_string(token.point.position);
    }

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::vector<std::string_view> split(std::string_view text)
    {
        std::vector<std::string_view> parts;
        for (;;) {
            const auto slash = text.find('/');
            parts.push_back(text.substr(0, slash));
            if (slash == std::string_view::npos)
                return parts;
            text.remove_prefix(slash + 1);
        }
    }

}

std::string encodeToken(const SessionToken& token, std::string_view key)
{
    const auto content = describe(token);
    return content + "/" + toHex(hmacSha256(key, content));
}

std::optional<SessionToken> decodeToken(std::string_view text, std::span<const std::string> keys)
{
    const auto parts = split(text);
    if (parts.size() != partCount || parts[0] != version)
        return std::nullopt;
    const auto content = text.substr(0, text.rfind('/'));
    const bool isSigned = std::any_of(keys.begin(), keys.end(), [&](const auto& key) { return equalSecrets(parts[5], toHex(hmacSha256(key, content))); });
    const auto term = parseNumber(parts[3]);
    const auto position = parseNumber(parts[4]);
    if (!isSigned || !term || !position)
        return std::nullopt;
    return SessionToken {
        .group = { .service = std::string(parts[1]), .instance = std::string(parts[2]) },
        .point = { .term = *term, .position = *position },
    };
}

}
