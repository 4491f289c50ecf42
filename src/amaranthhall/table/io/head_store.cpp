#include "amaranthhall/table/io/head_store.hpp"

#include "amaranthhall/table/table_json.hpp"
#include "amaranthhall/table/table_messages.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace amaranthhall::table {

namespace {

    using Json = nlohmann::json;
    using platform::PlatformError;

    constexpr auto headKey = "table/head";

    std::string editKey(std::string_view editId)
    {
        return "table/edit/" + std::string(editId);
    }

    std::string imageName(std::string_view digest)
    {
        return "table/" + std::string(digest);
    }

    StoreAnswer toAnswer(PlatformError error)
    {
        if (error == PlatformError::Conflict)
            return StoreAnswer::Conflict;
        const auto hasNoEffect = error == PlatformError::Unavailable || error == PlatformError::Throttled;
        return hasNoEffect ? StoreAnswer::Unavailable : StoreAnswer::Unknown;
    }

    std::optional<StoredImage> decodeImage(std::string_view text, std::string_view digest)
    {
        try {
            const auto json = Json::parse(text);
            auto image = decodeTable(json.at("table").get_ref<const std::string&>());
            if (!image || digestTable(*image) != digest)
                return std::nullopt;
            return StoredImage {
                .image = *std::move(image),
                .previous = json.at("previous").get<std::string>(),
                .editId = json.at("edit_id").get<std::string>(),
                .editor = json.at("editor").get<std::string>(),
                .at = json.at("at").get<std::string>(),
            };
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

}

void HeadStore::readHead(std::function<void(std::optional<StoredHead>)> done)
{
    this->platform.readRow(headKey, [done = std::move(done)](auto row) {
        if (!row)
            return done(std::nullopt);
        auto head = decodeHead(row->value, row->version);
        if (!head)
            return done(std::nullopt);
        done(StoredHead { .head = *std::move(head), .rowVersion = row->version });
    });
}

void HeadStore::readCommitted(std::string_view editId, std::function<void(std::optional<std::optional<Version>>)> done)
{
    this->platform.readRow(editKey(editId), [done = std::move(done)](auto row) {
        if (!row)
            return done(std::nullopt);
        if (row->version == 0)
            return done(std::optional<Version> {});
        Version version { 0 };
        std::from_chars(row->value.data(), row->value.data() + row->value.size(), version);
        done(std::optional(version));
    });
}

void HeadStore::listVms(std::function<void(std::optional<std::vector<platform::VmEntry>>)> done)
{
    this->platform.listVms([done = std::move(done)](auto vms) {
        done(vms ? std::optional(*std::move(vms)) : std::nullopt);
    });
}

void HeadStore::writeHead(const WriteHead& action, std::string_view editId, std::function<void(HeadWritten)> done)
{
    platform::Transaction transaction {
        .requestId = action.requestId,
        .conditions = { { .key = headKey, .version = action.expectedRowVersion } },
        .puts = { { .key = headKey, .value = encodeHead(action.head) } },
    };
    if (action.isCommit)
        transaction.puts.push_back({ .key = editKey(editId), .value = std::to_string(action.head.version) });
    this->platform.commit(transaction, [done = std::move(done)](auto rows) {
        if (!rows)
            return done({ .answer = toAnswer(rows.error()) });
        if (rows->empty())
            return done({ .answer = StoreAnswer::Unknown });
        done({ .answer = StoreAnswer::Done, .rowVersion = rows->front().version });
    });
}

void HeadStore::readImage(std::string_view digest, std::function<void(std::optional<StoredImage>)> done)
{
    this->platform.readObject(imageName(digest), [done = std::move(done), digest = std::string(digest)](auto object) {
        done(object ? decodeImage(object->body, digest) : std::nullopt);
    });
}

void HeadStore::storeImage(const StoredImage& stored, std::function<void(StoreAnswer)> done)
{
    const auto name = imageName(digestTable(stored.image));
    auto body = Json {
        { "previous", stored.previous },
        { "edit_id", stored.editId },
        { "editor", stored.editor },
        { "at", stored.at },
        { "table", encodeTable(stored.image) },
    }
                    .dump();
    this->platform.writeObject(name, std::move(body), {}, [done = std::move(done)](auto etag) {
        // The name tells the content, so an object that is there already is the same.
        if (etag || etag.error() == PlatformError::Conflict)
            return done(StoreAnswer::Done);
        done(toAnswer(etag.error()));
    });
}

}
