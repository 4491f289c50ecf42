#include "amaranthhall/session/request_key.hpp"

#include "amaranthhall/session/digest.hpp"

namespace amaranthhall::session {

namespace {

    constexpr std::int64_t keptSeconds = 7 * 86400;
    constexpr std::size_t digestBytes = 16;

}

std::string digestQuery(const upstream::Query& query)
{
    std::string content = query.text;
    for (const auto& parameter : query.parameters) {
        content += '\0';
        content += parameter ? std::to_string(parameter->size()) + ":" + *parameter : "NULL";
    }
    return toHex(sha256(content).substr(0, digestBytes));
}

std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines)
        text += line + "\n";
    return text;
}

std::vector<std::string> splitLines(std::string_view text)
{
    std::vector<std::string> lines;
    for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n')) {
        lines.emplace_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    return lines;
}

upstream::Query makeKeyTableQuery()
{
    return { .text = "CREATE TABLE IF NOT EXISTS ah_request_keys (key text PRIMARY KEY, digest text NOT NULL, tag text NOT NULL, created bigint NOT NULL)" };
}

upstream::Batch makeKeyOpening(const std::string& key, std::int64_t epochSeconds)
{
    upstream::Batch batch;
    batch.queries.push_back({ .text = "BEGIN" });
    batch.queries.push_back({ .text = "SELECT digest, tag FROM ah_request_keys WHERE key = $1", .parameters = { key } });
    batch.queries.push_back({ .text = "INSERT INTO ah_request_keys (key, digest, tag, created) VALUES ($1, '', '', $2)", .parameters = { key, std::to_string(epochSeconds) } });
    return batch;
}

upstream::Query makeKeyRecording(const std::string& key, const KeyRecord& record)
{
    return { .text = "UPDATE ah_request_keys SET digest = $1, tag = $2 WHERE key = $3", .parameters = { joinLines(record.digests), joinLines(record.tags), key } };
}

upstream::Query makeKeyPruning(std::int64_t epochSeconds)
{
    return { .text = "DELETE FROM ah_request_keys WHERE created < $1", .parameters = { std::to_string(epochSeconds - keptSeconds) } };
}

}
