#include "amaranthhall/relay/frame.hpp"

#include "amaranthhall/packing/packing.hpp"

#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace amaranthhall::relay {

namespace {

    constexpr std::size_t lengthBytes = 4;
    constexpr unsigned byteBits = 8;

    /// The first byte of a frame's body; what follows is packed.
    enum class FrameType : char {
        Statement = 's',
        Answer = 'a',
        End = 'e',
        Pulse = 'p',
    };

    using Point = std::optional<std::tuple<group::Term, group::Position>>;
    using Route = std::tuple<std::string, std::string, std::uint8_t, std::int64_t, std::int64_t, std::int64_t, unsigned>;
    using Settings = std::map<std::string, std::string, std::less<>>;
    using Prepared = std::optional<std::tuple<bool, std::string>>;
    using PackedRequest = std::tuple<std::string, std::uint8_t, std::string, std::string, std::string, bool>;
    using PackedStatement = std::tuple<std::uint64_t, PackedRequest, Route, Settings, Prepared, Point, std::int64_t>;
    using PackedReply = std::tuple<std::vector<std::string>, std::string, std::uint8_t, std::string, std::uint8_t, bool>;
    using PackedAnswer = std::tuple<std::uint64_t, PackedReply, Point>;

    template <typename Enum>
    std::uint8_t number(Enum value) noexcept
    {
        return static_cast<std::uint8_t>(value);
    }

    /// Tells whether a number names one of an enumeration's values, by its last one.
    template <typename Enum>
    bool isOneOf(std::uint8_t value, Enum last) noexcept
    {
        return value <= number(last);
    }

    Point packPoint(const std::optional<group::LogPoint>& point)
    {
        return point ? Point({ point->term, point->position }) : std::nullopt;
    }

    std::optional<group::LogPoint> restorePoint(const Point& point)
    {
        if (!point)
            return std::nullopt;
        return group::LogPoint { .term = std::get<0>(*point), .position = std::get<1>(*point) };
    }

    Route packRoute(const catalog::Route& route)
    {
        return { route.database, route.service, number(route.consistency), route.statementTimeout.count(), route.targetLatency.count(), route.maximumStaleness.count(), route.priority };
    }

    catalog::Route restoreRoute(Route&& packed)
    {
        using std::chrono::milliseconds;
        auto& [database, service, consistency, timeout, target, staleness, priority] = packed;
        return {
            .database = std::move(database),
            .service = std::move(service),
            .consistency = static_cast<catalog::Consistency>(consistency),
            .statementTimeout = milliseconds(timeout),
            .targetLatency = milliseconds(target),
            .maximumStaleness = milliseconds(staleness),
            .priority = priority,
        };
    }

    void appendBody(std::string& out, const StatementFrame& frame)
    {
        const auto& relayed = frame.request;
        const auto& request = relayed.request;
        Prepared prepared;
        if (relayed.prepared)
            prepared = { relayed.prepared->writes, relayed.prepared->shape };
        out.push_back(static_cast<char>(FrameType::Statement));
        packing::append(out, PackedStatement { frame.stream, { request.id, number(request.kind), request.text, request.name, request.value, request.writes }, packRoute(relayed.route), relayed.settings, prepared, packPoint(relayed.lastCommit), relayed.timeLeft.count() });
    }

    void appendBody(std::string& out, const AnswerFrame& frame)
    {
        const auto& reply = frame.reply.reply;
        out.push_back(static_cast<char>(FrameType::Answer));
        packing::append(out, PackedAnswer { frame.stream, { reply.rows, reply.digest, number(reply.code), reply.detail, number(reply.state), reply.isLeaderUnreachable }, packPoint(frame.reply.lastCommit) });
    }

    void appendBody(std::string& out, const EndFrame& frame)
    {
        out.push_back(static_cast<char>(FrameType::End));
        packing::append(out, frame.stream);
    }

    void appendBody(std::string& out, const PulseFrame&)
    {
        out.push_back(static_cast<char>(FrameType::Pulse));
    }

    std::optional<Frame> restoreStatement(std::string_view bytes)
    {
        auto packed = packing::unpack<PackedStatement>(bytes);
        if (!packed)
            return std::nullopt;
        auto& [stream, request, route, settings, prepared, lastCommit, timeLeft] = *packed;
        auto& [id, kind, text, name, value, writes] = request;
        if (!isOneOf(kind, engine::RequestKind::Malformed) || !isOneOf(std::get<2>(route), catalog::Consistency::ReadYourWrites))
            return std::nullopt;
        StatementFrame frame { .stream = stream };
        frame.request.request = { .id = std::move(id), .kind = static_cast<engine::RequestKind>(kind), .text = std::move(text), .name = std::move(name), .value = std::move(value), .writes = writes };
        frame.request.route = restoreRoute(std::move(route));
        frame.request.settings = std::move(settings);
        if (prepared)
            frame.request.prepared = engine::PreparedStatement { .writes = std::get<0>(*prepared), .shape = std::get<1>(*prepared) };
        frame.request.lastCommit = restorePoint(lastCommit);
        frame.request.timeLeft = std::chrono::milliseconds(timeLeft);
        return frame;
    }

    std::optional<Frame> restoreAnswer(std::string_view bytes)
    {
        auto packed = packing::unpack<PackedAnswer>(bytes);
        if (!packed)
            return std::nullopt;
        auto& [stream, reply, lastCommit] = *packed;
        auto& [rows, digest, code, detail, state, isLeaderUnreachable] = reply;
        if (!isOneOf(code, engine::ReplyCode::Other) || !isOneOf(state, engine::TransactionState::Failed))
            return std::nullopt;
        AnswerFrame frame { .stream = stream };
        frame.reply.reply = { .rows = std::move(rows), .digest = std::move(digest), .code = static_cast<engine::ReplyCode>(code), .detail = std::move(detail), .state = static_cast<engine::TransactionState>(state), .isLeaderUnreachable = isLeaderUnreachable };
        frame.reply.lastCommit = restorePoint(lastCommit);
        return frame;
    }

    std::optional<Frame> restoreEnd(std::string_view bytes)
    {
        const auto stream = packing::unpack<std::uint64_t>(bytes);
        return stream ? std::optional<Frame>(EndFrame { .stream = *stream }) : std::nullopt;
    }

    std::optional<Frame> restore(std::string_view body)
    {
        if (body.empty())
            return std::nullopt;
        const auto packed = body.substr(1);
        switch (static_cast<FrameType>(body.front())) {
        case FrameType::Statement:
            return restoreStatement(packed);
        case FrameType::Answer:
            return restoreAnswer(packed);
        case FrameType::End:
            return restoreEnd(packed);
        case FrameType::Pulse:
            return PulseFrame {};
        }
        return std::nullopt;
    }

}

void appendFrame(std::string& out, const Frame& frame)
{
    const auto begin = out.size();
    out.append(lengthBytes, '\0');
    std::visit([&out](const auto& content) { appendBody(out, content); }, frame);
    const auto length = out.size() - begin - lengthBytes;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        out[begin + i] = static_cast<char>(length >> (byteBits * (lengthBytes - 1 - i)));
}

std::optional<Frame> FrameReader::next()
{
    const auto available = this->buffer.size() - this->begin;
    if (this->broken || available < lengthBytes)
        return std::nullopt;
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length = (length << byteBits) | static_cast<unsigned char>(this->buffer[this->begin + i]);
    if (length > maximumFrame) {
        this->broken = true;
        return std::nullopt;
    }
    if (available < lengthBytes + length)
        return std::nullopt;
    auto frame = restore(std::string_view(this->buffer).substr(this->begin + lengthBytes, length));
    this->broken = !frame;
    this->drop(lengthBytes + length);
    return frame;
}

void FrameReader::drop(std::size_t count)
{
    this->begin += count;
    if (this->begin <= this->buffer.size() / 2)
        return;
    this->buffer.erase(0, this->begin);
    this->begin = 0;
}

}
