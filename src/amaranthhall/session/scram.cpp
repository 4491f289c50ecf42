#include "amaranthhall/session/scram.hpp"

#include "amaranthhall/session/digest.hpp"

#include <charconv>
#include <utility>

namespace amaranthhall::session {

namespace {

    constexpr std::string_view secretPrefix = "SCRAM-SHA-256$";
    constexpr std::size_t keyBytes = 32;
    constexpr std::size_t saltBytes = 16;

    std::pair<std::string_view, std::string_view> cut(std::string_view text, char separator) noexcept
    {
        const auto at = text.find(separator);
        if (at == std::string_view::npos)
            return { text, {} };
        return { text.substr(0, at), text.substr(at + 1) };
    }

    std::string combine(std::string_view left, std::string_view right)
    {
        std::string combined(left);
        for (std::size_t i = 0; i < combined.size() && i < right.size(); ++i)
            combined[i] = static_cast<char>(combined[i] ^ right[i]);
        return combined;
    }

}

std::optional<ScramSecret> parseScramSecret(std::string_view text)
{
    if (!text.starts_with(secretPrefix))
        return std::nullopt;
    const auto [cost, keys] = cut(text.substr(secretPrefix.size()), '$');
    const auto [iterations, salt] = cut(cost, ':');
    const auto [storedKey, serverKey] = cut(keys, ':');
    ScramSecret secret { .salt = std::string(salt), .storedKey = fromBase64(storedKey), .serverKey = fromBase64(serverKey) };
    const auto [end, error] = std::from_chars(iterations.data(), iterations.data() + iterations.size(), secret.iterations);
    const bool isWhole = error == std::errc() && end == iterations.data() + iterations.size() && secret.iterations > 0;
    if (!isWhole || fromBase64(salt).empty() || secret.storedKey.size() != keyBytes || secret.serverKey.size() != keyBytes)
        return std::nullopt;
    return secret;
}

ScramSecret makeMockSecret(std::string_view user, std::string_view key)
{
    const auto content = std::string(user);
    return {
        .salt = toBase64(hmacSha256(key, "salt " + content).substr(0, saltBytes)),
        .storedKey = hmacSha256(key, "stored " + content),
        .serverKey = hmacSha256(key, "server " + content),
    };
}

ScramExchange::ScramExchange(ScramSecret usedSecret, std::string usedNonce)
    : secret(std::move(usedSecret))
    , nonce(std::move(usedNonce))
{
}

std::optional<std::string> ScramExchange::takeFirst(std::string_view message)
{
    const auto [binding, afterBinding] = cut(message, ',');
    const auto [authorization, bare] = cut(afterBinding, ',');
    if ((binding != "n" && binding != "y") || !authorization.empty())
        return std::nullopt;
    const auto [name, afterName] = cut(bare, ',');
    const auto [clientNonce, extensions] = cut(afterName, ',');
    if (!name.starts_with("n=") || !clientNonce.starts_with("r=") || clientNonce.size() < 3)
        return std::nullopt;
    this->header = std::string(binding) + ",,";
    this->clientFirst = bare;
    this->nonce = std::string(clientNonce.substr(2)) + this->nonce;
    this->serverFirst = "r=" + this->nonce + ",s=" + this->secret.salt + ",i=" + std::to_string(this->secret.iterations);
    return this->serverFirst;
}

std::optional<std::string> ScramExchange::takeFinal(std::string_view message) const
{
    const auto proofAt = message.rfind(",p=");
    if (proofAt == std::string_view::npos)
        return std::nullopt;
    const auto withoutProof = message.substr(0, proofAt);
    if (withoutProof != "c=" + toBase64(this->header) + ",r=" + this->nonce)
        return std::nullopt;
    const auto proof = fromBase64(message.substr(proofAt + 3));
    if (proof.size() != keyBytes)
        return std::nullopt;
    const auto content = this->clientFirst + "," + this->serverFirst + "," + std::string(withoutProof);
    const auto clientKey = combine(proof, hmacSha256(this->secret.storedKey, content));
    if (!equalSecrets(sha256(clientKey), this->secret.storedKey))
        return std::nullopt;
    return "v=" + toBase64(hmacSha256(this->secret.serverKey, content));
}

}
