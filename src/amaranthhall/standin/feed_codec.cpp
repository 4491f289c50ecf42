#include "amaranthhall/standin/feed_codec.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhall::standin {

namespace {

    using Json = nlohmann::json;

    Json encodeRecord(const LogRecord& record)
    {
        auto statements = Json::array();
        for (const auto& statement : record.statements) {
            auto parameters = Json::array();
            for (const auto& parameter : statement.parameters)
                parameters.push_back(Json::array({ parameter.type, parameter.value ? Json(*parameter.value) : Json() }));
            statements.push_back({ { "text", statement.text }, { "parameters", std::move(parameters) } });
        }
        return { { "term", record.term }, { "statements", std::move(statements) } };
    }

    LoggedParameter decodeParameter(const Json& json)
    {
        LoggedParameter parameter { .type = json.at(0).get<std::int32_t>() };
        if (!json.at(1).is_null())
            parameter.value = json.at(1).get<std::string>();
        return parameter;
    }

    LogRecord decodeRecord(const Json& json)
    {
        LogRecord record { .term = json.at("term").get<group::Term>() };
        for (const auto& item : json.at("statements")) {
            LoggedStatement statement { .text = item.at("text").get<std::string>() };
            for (const auto& parameter : item.at("parameters"))
                statement.parameters.push_back(decodeParameter(parameter));
            record.statements.push_back(std::move(statement));
        }
        return record;
    }

}

std::string encodeFeed(const Feed& feed)
{
    auto records = Json::array();
    for (const auto& record : feed.records)
        records.push_back(encodeRecord(record));
    return Json { { "term", feed.term }, { "previous_term", feed.previous.term }, { "previous_position", feed.previous.position }, { "end", feed.end }, { "records", std::move(records) } }.dump();
}

std::optional<Feed> decodeFeed(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        Feed feed { .term = json.at("term").get<group::Term>() };
        feed.previous = { .term = json.at("previous_term").get<group::Term>(), .position = json.at("previous_position").get<group::Position>() };
        feed.end = json.at("end").get<group::Position>();
        for (const auto& record : json.at("records"))
            feed.records.push_back(decodeRecord(record));
        return feed;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string encodeAnswer(const FeedAnswer& answer)
{
    return Json { { "accepted", answer.accepted }, { "term", answer.term }, { "position", answer.position } }.dump();
}

std::optional<FeedAnswer> decodeAnswer(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        return FeedAnswer { .accepted = json.at("accepted").get<bool>(), .term = json.at("term").get<group::Term>(), .position = json.at("position").get<group::Position>() };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}
