#include "amaranthhall/session/authentication.hpp"

#include "amaranthhall/pgwire/fields.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"
#include "amaranthhall/session/digest.hpp"

#include <openssl/rand.h>

namespace amaranthhall::session {

namespace {

    constexpr std::string_view mechanism = "SCRAM-SHA-256";
    constexpr std::size_t nonceBytes = 18;
    constexpr std::int32_t requestCode = 10;
    constexpr std::int32_t continueCode = 11;
    constexpr std::int32_t finalCode = 12;

    std::string makeNonce()
    {
        std::string bytes(nonceBytes, '\0');
        RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        return toBase64(bytes);
    }

    ScramSecret findSecret(const std::string& user, const kernel::Settings& settings)
    {
        for (const auto& known : settings.callers.users) {
            const auto secret = known.name == user ? parseScramSecret(known.secret) : std::nullopt;
            if (secret)
                return *secret;
        }
        return makeMockSecret(user, settings.peerKeys.empty() ? std::string_view() : std::string_view(settings.peerKeys.front()));
    }

    std::string makeFrame(std::int32_t code, std::string_view content)
    {
        pgwire::FrameWriter writer;
        writer.begin('R');
        writer.addInt32(code);
        writer.addBytes(content);
        writer.end();
        return writer.bytes();
    }

}

Authentication::Authentication(StartupMessage usedMessage, const kernel::Settings& settings)
    : message(std::move(usedMessage))
    , exchange(findSecret(this->message.user, settings), makeNonce())
{
}

std::string Authentication::request()
{
    return makeFrame(requestCode, std::string(mechanism) + std::string(2, '\0'));
}

AuthenticationStep Authentication::take(std::string_view body)
{
    if (!std::exchange(this->isBegun, true))
        return this->takeFirst(body);
    const auto proof = this->exchange.takeFinal(body);
    if (!proof)
        return this->refuse();
    return { .frames = makeFrame(finalCode, *proof), .isDone = true };
}

AuthenticationStep Authentication::takeFirst(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto chosen = fields.text();
    const auto length = fields.int32().value_or(-1);
    const auto content = length < 0 ? std::nullopt : fields.bytes(static_cast<std::size_t>(length));
    if (chosen != mechanism || !content)
        return this->refuse();
    const auto answer = this->exchange.takeFirst(*content);
    if (!answer)
        return this->refuse();
    return { .frames = makeFrame(continueCode, *answer) };
}

AuthenticationStep Authentication::refuse() const
{
    return { .error = StartupError { .sqlstate = "28P01", .message = "password authentication failed for user \"" + this->message.user + "\"" } };
}

}
