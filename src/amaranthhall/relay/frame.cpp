#include "amaranthhall/relay/frame.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace amaranthhall::relay {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t lengthBytes = 4;
    constexpr unsigned byteBits = 8;

    Json encodePoint(const std::optional<group::LogPoint>& point)
    {
        return point ? Json::array({ point->term, point->position }) : Json();
    }

    std::optional<group::LogPoint> decodePoint(const Json& json)
    {
        if (json.is_null())
            return std::nullopt;
        return group::LogPoint { .term = json.at(0).get<group::Term>(), .position = json.at(1).get<group::Position>() };
    }

    Json encode(const StatementFrame& frame)
    {
        const auto& request = frame.request.request;
        const auto& route = frame.request.route;
        Json json { { "type", "statement" }, { "stream", frame.stream }, { "id", request.id }, { "kind", static_cast<int>(request.kind) }, { "text", request.text }, { "name", request.name },
            { "value", request.value }, { "writes", request.writes }, { "time_left", frame.request.timeLeft.count() }, { "last_commit", encodePoint(frame.request.lastCommit) } };
        json["route"] = Json::array({ route.database, route.service, static_cast<int>(route.consistency), route.statementTimeout.count(), route.targetLatency.count(), route.maximumStaleness.count(), route.priority });
        if (!frame.request.settings.empty())
            json["settings"] = frame.request.settings;
        if (frame.request.prepared)
            json["prepared"] = Json::array({ frame.request.prepared->writes, frame.request.prepared->shape });
        return json;
    }

    Json encode(const AnswerFrame& frame)
    {
        const auto& reply = frame.reply.reply;
        return { { "type", "answer" }, { "stream", frame.stream }, { "rows", reply.rows }, { "digest", reply.digest }, { "code", static_cast<int>(reply.code) }, { "detail", reply.detail },
            { "state", static_cast<int>(reply.state) }, { "is_local", reply.isLocal }, { "last_commit", encodePoint(frame.reply.lastCommit) } };
    }

    Json encode(const EndFrame& frame)
    {
        return { { "type", "end" }, { "stream", frame.stream } };
    }

    Json encode(const PulseFrame&)
    {
        return { { "type", "pulse" } };
    }

    catalog::Route decodeRoute(const Json& json)
    {
        using std::chrono::milliseconds;
        return {
            .database = json.at(0).get<std::string>(),
            .service = json.at(1).get<std::string>(),
            .consistency = static_cast<catalog::Consistency>(json.at(2).get<int>()),
            .statementTimeout = milliseconds(json.at(3).get<std::int64_t>()),
            .targetLatency = milliseconds(json.at(4).get<std::int64_t>()),
            .maximumStaleness = milliseconds(json.at(5).get<std::int64_t>()),
            .priority = json.at(6).get<unsigned>(),
        };
    }

    StatementFrame decodeStatement(const Json& json)
    {
        StatementFrame frame { .stream = json.at("stream").get<std::uint64_t>() };
        frame.request.request = { .id = json.at("id").get<std::string>(), .kind = static_cast<engine::RequestKind>(json.at("kind").get<int>()), .text = json.at("text").get<std::string>(), .name = json.at("name").get<std::string>(), .value = json.at("value").get<std::string>(), .writes = json.at("writes").get<bool>() };
        frame.request.route = decodeRoute(json.at("route"));
        frame.request.timeLeft = std::chrono::milliseconds(json.at("time_left").get<std::int64_t>());
        frame.request.lastCommit = decodePoint(json.at("last_commit"));
        if (json.contains("settings")) {
            for (const auto& [name, value] : json["settings"].items())
                frame.request.settings.emplace(name, value.get<std::string>());
        }
        if (json.contains("prepared"))
            frame.request.prepared = { .writes = json["prepared"].at(0).get<bool>(), .shape = json["prepared"].at(1).get<std::string>() };
        return frame;
    }

    AnswerFrame decodeAnswer(const Json& json)
    {
        AnswerFrame frame { .stream = json.at("stream").get<std::uint64_t>() };
        frame.reply.reply = { .rows = json.at("rows").get<std::vector<std::string>>(), .digest = json.at("digest").get<std::string>(), .code = static_cast<engine::ReplyCode>(json.at("code").get<int>()), .detail = json.at("detail").get<std::string>(), .state = static_cast<engine::TransactionState>(json.at("state").get<int>()), .isLocal = json.at("is_local").get<bool>() };
        frame.reply.lastCommit = decodePoint(json.at("last_commit"));
        return frame;
    }

    Frame decode(std::string_view bytes)
    {
        const auto json = Json::from_cbor(bytes);
        const auto type = json.at("type").get<std::string>();
        if (type == "statement")
            return decodeStatement(json);
        if (type == "answer")
            return decodeAnswer(json);
        if (type == "pulse")
            return PulseFrame {};
        return EndFrame { .stream = json.at("stream").get<std::uint64_t>() };
    }

}

void appendFrame(std::string& out, const Frame& frame)
{
    std::string body;
    Json::to_cbor(std::visit([](const auto& content) { return encode(content); }, frame), body);
    for (std::size_t i = lengthBytes; i > 0; --i)
        out.push_back(static_cast<char>(body.size() >> (byteBits * (i - 1))));
    out.append(body);
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
    const auto body = std::string_view(this->buffer).substr(this->begin + lengthBytes, length);
    try {
        auto frame = decode(body);
        this->begin += lengthBytes + length;
        if (this->begin == this->buffer.size()) {
            this->buffer.clear();
            this->begin = 0;
        } else if (this->begin > this->buffer.size() / 2) {
            this->buffer.erase(0, this->begin);
            this->begin = 0;
        }
        return frame;
    } catch (const Json::exception&) {
        this->broken = true;
        return std::nullopt;
    }
}

}
