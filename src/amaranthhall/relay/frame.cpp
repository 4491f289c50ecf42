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
        StatementInContext = 'c',
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
    using PackedContext = std::tuple<PackedRoute, PackedSettings, PackedPreparedStatement, PackedIdentity>;
    using PackedStatementInContext = std::tuple<std::uint64_t, std::uint32_t, std::optional<std::string>, PackedRequest, PackedLogPoint, std::int64_t>; // the packed context only if it is new
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

    PackedRequest packRequest(const engine::Request& request)
    {
        return { request.id, toByte(request.kind), request.text, request.name, request.value, request.writes };
    }

    std::optional<engine::Request> unpackRequest(PackedRequest&& packed)
    {
        auto& [id, kind, text, name, value, writes] = packed;
        if (!isValidEnumerator(kind, engine::RequestKind::Malformed))
            return std::nullopt;
        return engine::Request { .id = std::move(id), .kind = static_cast<engine::RequestKind>(kind), .text = std::move(text), .name = std::move(name), .value = std::move(value), .writes = writes };
    }

    bool isValidRoute(const PackedRoute& route) noexcept
    {
        return isValidEnumerator(std::get<2>(route), catalog::Consistency::ReadYourWrites);
    }

    PackedPreparedStatement packPrepared(const std::optional<engine::PreparedStatement>& prepared)
    {
        return prepared ? PackedPreparedStatement({ prepared->writes, prepared->shape }) : std::nullopt;
    }

    std::optional<engine::PreparedStatement> unpackPrepared(PackedPreparedStatement&& packed)
    {
        if (!packed)
            return std::nullopt;
        return engine::PreparedStatement { .writes = std::get<0>(*packed), .shape = std::move(std::get<1>(*packed)) };
    }

    void appendBody(std::string& out, const StatementFrame& frame)
    {
        const auto& relayed = frame.request;
        out.push_back(static_cast<char>(FrameType::Statement));
        packing::append(out, PackedStatementFrame { frame.stream, packRequest(relayed.request), packRoute(relayed.route), relayed.settings, packPrepared(relayed.prepared), packLogPoint(relayed.lastCommit), relayed.timeLeft.count(), packIdentity(relayed.identity) });
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

    void appendBody(std::string& out, const KeepaliveFrame& frame)
    {
        out.push_back(static_cast<char>(FrameType::Keepalive));
        if (frame.contextVersion > 0)
            packing::append(out, frame.contextVersion);
    }

    /// Appends a frame; the body is appended by the function.
    template <typename AppendBody>
    void appendFramed(std::string& out, AppendBody appendContent)
    {
        const auto frameStart = out.size();
        out.append(lengthFieldSize, '\0');
        appendContent();
        const auto length = out.size() - frameStart - lengthFieldSize;
        for (std::size_t i = 0; i < lengthFieldSize; ++i)
            out[frameStart + i] = static_cast<char>(length >> (bitsPerByte * (lengthFieldSize - 1 - i)));
    }

    std::optional<Frame> decodeStatement(std::string_view bytes)
    {
        auto packed = packing::unpack<PackedStatementFrame>(bytes);
        if (!packed)
            return std::nullopt;
        auto& [stream, request, route, settings, prepared, lastCommit, timeLeft, identity] = *packed;
        auto unpackedRequest = unpackRequest(std::move(request));
        if (!unpackedRequest || !isValidRoute(route))
            return std::nullopt;
        StatementFrame frame { .stream = stream };
        frame.request.request = *std::move(unpackedRequest);
        frame.request.route = unpackRoute(std::move(route));
        frame.request.settings = std::move(settings);
        frame.request.prepared = unpackPrepared(std::move(prepared));
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

}

std::optional<Frame> FrameReader::decodeBody(std::string_view body)
{
    if (body.empty())
        return std::nullopt;
    const auto packed = body.substr(1);
    switch (static_cast<FrameType>(body.front())) {
    case FrameType::Statement:
        return decodeStatement(packed);
    case FrameType::StatementInContext:
        return this->decodeStatementInContext(packed);
    case FrameType::Reply:
        return decodeReply(packed);
    case FrameType::End:
        return decodeEnd(packed);
    case FrameType::Keepalive:
        return KeepaliveFrame { .contextVersion = packing::unpack<std::uint32_t>(packed).value_or(0) };
    }
    return std::nullopt;
}

std::optional<FrameReader::Context> FrameReader::decodeContext(std::string_view bytes)
{
    auto packed = bytes.size() <= ContextSender::maximumContextSize ? packing::unpack<PackedContext>(bytes) : std::nullopt;
    if (!packed || !isValidRoute(std::get<0>(*packed)))
        return std::nullopt;
    auto& [route, settings, prepared, identity] = *packed;
    return Context { .route = unpackRoute(std::move(route)), .settings = std::move(settings), .prepared = unpackPrepared(std::move(prepared)), .identity = unpackIdentity(std::move(identity)) };
}

std::optional<Frame> FrameReader::decodeStatementInContext(std::string_view bytes)
{
    auto packed = packing::unpack<PackedStatementInContext>(bytes);
    if (!packed)
        return std::nullopt;
    auto& [stream, number, newContext, request, lastCommit, timeLeft] = *packed;
    if (newContext && number < ContextSender::maximumContexts && number <= this->contexts.size()) {
        auto context = decodeContext(*newContext);
        if (!context)
            return std::nullopt;
        if (number == this->contexts.size())
            this->contexts.emplace_back();
        this->contexts[number] = *std::move(context);
    } else if (newContext || number >= this->contexts.size())
        return std::nullopt;
    auto unpackedRequest = unpackRequest(std::move(request));
    if (!unpackedRequest)
        return std::nullopt;
    const auto& context = this->contexts[number];
    return StatementFrame { .stream = stream, .request = { .request = *std::move(unpackedRequest), .route = context.route, .identity = context.identity, .settings = context.settings, .prepared = context.prepared, .lastCommit = unpackLogPoint(lastCommit), .timeLeft = std::chrono::milliseconds(timeLeft) } };
}

std::optional<ContextSender::Reference> ContextSender::refer(const std::string& context)
{
    if (context.size() > maximumContextSize)
        return std::nullopt;
    const auto [entry, isNew] = this->numbers.try_emplace(context, static_cast<std::uint32_t>(this->byNumber.size()));
    if (!isNew)
        return Reference { .number = entry->second };
    if (this->byNumber.size() < maximumContexts) {
        this->byNumber.push_back(entry);
        return Reference { .number = entry->second, .isNew = true };
    }
    const auto number = std::exchange(this->nextReplaced, (this->nextReplaced + 1) % maximumContexts);
    this->numbers.erase(std::exchange(this->byNumber[number], entry));
    entry->second = number;
    return Reference { .number = number, .isNew = true };
}

void appendFrame(std::string& out, const StatementFrame& frame, ContextSender& contexts)
{
    const auto& relayed = frame.request;
    const auto context = packing::pack(PackedContext { packRoute(relayed.route), relayed.settings, packPrepared(relayed.prepared), packIdentity(relayed.identity) });
    const auto reference = contexts.refer(context);
    if (!reference) {
        appendFrame(out, frame);
        return;
    }
    appendFramed(out, [&] {
        out.push_back(static_cast<char>(FrameType::StatementInContext));
        packing::append(out, PackedStatementInContext { frame.stream, reference->number, reference->isNew ? std::optional(context) : std::nullopt, packRequest(relayed.request), packLogPoint(relayed.lastCommit), relayed.timeLeft.count() });
    });
}

void appendFrame(std::string& out, const Frame& frame)
{
    appendFramed(out, [&] { std::visit([&out](const auto& content) { appendBody(out, content); }, frame); });
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
    auto frame = this->decodeBody(std::string_view(this->buffer).substr(this->readOffset + lengthFieldSize, length));
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
