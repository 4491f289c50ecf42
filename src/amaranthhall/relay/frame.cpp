#include "amaranthhall/relay/frame.hpp"

#include "amaranthhall/packing/packing.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace amaranthhall::relay {

namespace {

    constexpr std::size_t maximumIdleCapacity = 128U << 10U; // bytes of buffer capacity that a connection without an incomplete frame keeps

    constexpr std::size_t lengthFieldSize = 4;
    constexpr unsigned bitsPerByte = 8;

    /// The first byte of a frame's body; the MessagePack content follows.
    enum class FrameType : char {
        Statement = 's',
        Reply = 'a',
        End = 'e',
        Keepalive = 'p',
    };

    using PackedLogPoint = std::optional<std::tuple<group::Term, group::Position>>;
    using PackedRoute = std::tuple<std::string, std::string, std::uint8_t, std::int64_t, std::int64_t, std::int64_t, unsigned, bool>;
    using PackedIdentity = std::tuple<std::string, std::string, std::uint64_t>;
    using PackedSettings = std::map<std::string, std::string, std::less<>>;
    using PackedPreparedStatement = std::optional<std::tuple<bool, std::string>>;
    using PackedRequest = std::tuple<std::string, std::uint8_t, std::string, std::string, std::string, bool>;
    using PackedStatementFrame = std::tuple<std::uint64_t, PackedRequest, PackedRoute, PackedSettings, PackedPreparedStatement, PackedLogPoint, std::int64_t, PackedIdentity>;
    using PackedReply = std::tuple<std::vector<std::string>, std::string, std::uint8_t, std::string, std::uint8_t, bool>;
    using PackedReplyFrame = std::tuple<std::uint64_t, PackedReply, PackedLogPoint>;

    template <typename Enum>
    std::uint8_t toByte(Enum value) noexcept
    {
        return static_cast<std::uint8_t>(value);
    }

    /// Returns whether a number is an enumerator, given the last one of the enumeration.
    template <typename Enum>
    bool isValidEnumerator(std::uint8_t value, Enum last) noexcept
    {
        return value <= toByte(last);
    }

    PackedLogPoint packLogPoint(const std::optional<group::LogPoint>& point)
    {
        return point ? PackedLogPoint({ point->term, point->position }) : std::nullopt;
    }

    std::optional<group::LogPoint> unpackLogPoint(const PackedLogPoint& point)
    {
        if (!point)
            return std::nullopt;
        return group::LogPoint { .term = std::get<0>(*point), .position = std::get<1>(*point) };
    }

    PackedRoute packRoute(const catalog::Route& route)
    {
        return { route.database, route.service, toByte(route.consistency), route.statementTimeout.count(), route.targetLatency.count(), route.maximumStaleness.count(), route.priority, route.isPublic };
    }

    catalog::Route unpackRoute(PackedRoute&& packed)
    {
        using std::chrono::milliseconds;
        auto& [database, service, consistency, timeout, target, staleness, priority, isPublic] = packed;
        return {
            .database = std::move(database),
            .service = std::move(service),
            .consistency = static_cast<catalog::Consistency>(consistency),
            .statementTimeout = milliseconds(timeout),
            .targetLatency = milliseconds(target),
            .maximumStaleness = milliseconds(staleness),
            .priority = priority,
            .isPublic = isPublic,
        };
    }

    PackedIdentity packIdentity(const identity::Identity& identity)
    {
        std::string credential;
        if (identity.credential)
            credential.assign(identity.credential->begin(), identity.credential->end());
        return { identity.organisation, std::move(credential), identity.configurationVersion };
    }

    identity::Identity unpackIdentity(PackedIdentity&& packed)
    {
        auto& [organisation, credential, version] = packed;
        identity::Identity identity { .organisation = std::move(organisation), .configurationVersion = version };
        hashing::KeyDigest digest {};
        if (credential.size() == digest.size()) {
            std::copy(credential.begin(), credential.end(), digest.begin());
            identity.credential = digest;
        }
        return identity;
    }

    void appendBody(std::string& out, const StatementFrame& frame)
    {
        const auto& relayed = frame.request;
        const auto& request = relayed.request;
        PackedPreparedStatement prepared;
        if (relayed.prepared)
            prepared = { relayed.prepared->writes, relayed.prepared->shape };
        out.push_back(static_cast<char>(FrameType::Statement));
        packing::append(out, PackedStatementFrame { frame.stream, { request.id, toByte(request.kind), request.text, request.name, request.value, request.writes }, packRoute(relayed.route), relayed.settings, prepared, packLogPoint(relayed.lastCommit), relayed.timeLeft.count(), packIdentity(relayed.identity) });
    }

    void appendBody(std::string& out, const ReplyFrame& frame)
    {
        const auto& reply = frame.reply.reply;
        out.push_back(static_cast<char>(FrameType::Reply));
        packing::append(out, PackedReplyFrame { frame.stream, { reply.rows, reply.digest, toByte(reply.code), reply.detail, toByte(reply.state), reply.isLeaderUnreachable }, packLogPoint(frame.reply.lastCommit) });
    }

    void appendBody(std::string& out, const EndFrame& frame)
    {
        out.push_back(static_cast<char>(FrameType::End));
        packing::append(out, frame.stream);
    }

    void appendBody(std::string& out, const KeepaliveFrame&)
    {
        out.push_back(static_cast<char>(FrameType::Keepalive));
    }

    std::optional<Frame> decodeStatement(std::string_view bytes)
    {
        auto packed = packing::unpack<PackedStatementFrame>(bytes);
        if (!packed)
            return std::nullopt;
        auto& [stream, request, route, settings, prepared, lastCommit, timeLeft, identity] = *packed;
        auto& [id, kind, text, name, value, writes] = request;
        if (!isValidEnumerator(kind, engine::RequestKind::Malformed) || !isValidEnumerator(std::get<2>(route), catalog::Consistency::ReadYourWrites))
            return std::nullopt;
        StatementFrame frame { .stream = stream };
        frame.request.request = { .id = std::move(id), .kind = static_cast<engine::RequestKind>(kind), .text = std::move(text), .name = std::move(name), .value = std::move(value), .writes = writes };
        frame.request.route = unpackRoute(std::move(route));
        frame.request.settings = std::move(settings);
        if (prepared)
            frame.request.prepared = engine::PreparedStatement { .writes = std::get<0>(*prepared), .shape = std::get<1>(*prepared) };
        frame.request.lastCommit = unpackLogPoint(lastCommit);
        frame.request.timeLeft = std::chrono::milliseconds(timeLeft);
        frame.request.identity = unpackIdentity(std::move(identity));
        return frame;
    }

    std::optional<Frame> decodeReply(std::string_view bytes)
    {
        auto packed = packing::unpack<PackedReplyFrame>(bytes);
        if (!packed)
            return std::nullopt;
        auto& [stream, reply, lastCommit] = *packed;
        auto& [rows, digest, code, detail, state, isLeaderUnreachable] = reply;
        if (!isValidEnumerator(code, engine::ReplyCode::Other) || !isValidEnumerator(state, engine::TransactionState::Failed))
            return std::nullopt;
        ReplyFrame frame { .stream = stream };
        frame.reply.reply = { .rows = std::move(rows), .digest = std::move(digest), .code = static_cast<engine::ReplyCode>(code), .detail = std::move(detail), .state = static_cast<engine::TransactionState>(state), .isLeaderUnreachable = isLeaderUnreachable };
        frame.reply.lastCommit = unpackLogPoint(lastCommit);
        return frame;
    }

    std::optional<Frame> decodeEnd(std::string_view bytes)
    {
        const auto stream = packing::unpack<std::uint64_t>(bytes);
        return stream ? std::optional<Frame>(EndFrame { .stream = *stream }) : std::nullopt;
    }

    std::optional<Frame> decodeBody(std::string_view body)
    {
        if (body.empty())
            return std::nullopt;
        const auto packed = body.substr(1);
        switch (static_cast<FrameType>(body.front())) {
        case FrameType::Statement:
            return decodeStatement(packed);
        case FrameType::Reply:
            return decodeReply(packed);
        case FrameType::End:
            return decodeEnd(packed);
        case FrameType::Keepalive:
            return KeepaliveFrame {};
        }
        return std::nullopt;
    }

}

void appendFrame(std::string& out, const Frame& frame)
{
    const auto frameStart = out.size();
    out.append(lengthFieldSize, '\0');
    std::visit([&out](const auto& content) { appendBody(out, content); }, frame);
    const auto length = out.size() - frameStart - lengthFieldSize;
    for (std::size_t i = 0; i < lengthFieldSize; ++i)
        out[frameStart + i] = static_cast<char>(length >> (bitsPerByte * (lengthFieldSize - 1 - i)));
}

std::optional<Frame> FrameReader::next()
{
    const auto available = this->buffer.size() - this->readOffset;
    if (this->malformed || available < lengthFieldSize)
        return std::nullopt;
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthFieldSize; ++i)
        length = (length << bitsPerByte) | static_cast<unsigned char>(this->buffer[this->readOffset + i]);
    if (length > maximumFrameSize) {
        this->malformed = true;
        return std::nullopt;
    }
    if (available < lengthFieldSize + length)
        return std::nullopt;
    auto frame = decodeBody(std::string_view(this->buffer).substr(this->readOffset + lengthFieldSize, length));
    this->malformed = !frame;
    this->consume(lengthFieldSize + length);
    return frame;
}

void FrameReader::consume(std::size_t count)
{
    this->readOffset += count;
    if (this->readOffset <= this->buffer.size() / 2)
        return;
    this->buffer.erase(0, this->readOffset);
    this->readOffset = 0;
    if (this->buffer.empty() && this->buffer.capacity() > maximumIdleCapacity)
        this->buffer.shrink_to_fit();
}

}
