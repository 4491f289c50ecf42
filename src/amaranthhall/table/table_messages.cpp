#include "amaranthhall/table/table_messages.hpp"

#include "amaranthhall/table/table_json.hpp"

namespace amaranthhall::table {

namespace {

    using Json = nlohmann::json;
    using Millis = std::chrono::milliseconds;

    Json encodeInfo(const StageInfo& info)
    {
        return {
            { "number", info.number },
            { "version", info.version },
            { "digest", info.digest },
            { "edit_id", info.editId },
            { "editor", info.editor },
            { "editor_address", kernel::formatAddress(info.editorAddress) },
        };
    }

    StageInfo decodeInfo(const Json& json)
    {
        return {
            .number = json.at("number").get<StageNumber>(),
            .version = json.at("version").get<Version>(),
            .digest = json.at("digest").get<std::string>(),
            .editId = json.at("edit_id").get<std::string>(),
            .editor = json.at("editor").get<std::string>(),
            .editorAddress = kernel::parseAddress(json.at("editor_address").get<std::string>()).value_or(kernel::Address {}),
        };
    }

    /// Rounds up, so that what was known is never taken for newer than it is.
    Json encodeAge(Duration age)
    {
        if (age == Duration::max())
            return nullptr;
        return std::chrono::ceil<Millis>(age).count();
    }

    Duration decodeAge(const Json& json)
    {
        return json.is_null() ? Duration::max() : Duration(Millis(json.get<std::int64_t>()));
    }

    std::optional<StageInfo> decodeOptionalInfo(const Json& json)
    {
        if (json.is_null())
            return std::nullopt;
        return decodeInfo(json);
    }

}

std::string encodeHead(const Head& head)
{
    return Json { { "version", head.version }, { "digest", head.digest }, { "staged", head.staged ? encodeInfo(*head.staged) : Json() } }.dump();
}

std::optional<Head> decodeHead(std::string_view text, StageNumber rowVersion)
{
    if (text.empty())
        return Head { .digest = digestTable({}) };
    try {
        const auto json = Json::parse(text);
        Head head { .version = json.at("version").get<Version>(), .digest = json.at("digest").get<std::string>(), .staged = decodeOptionalInfo(json.at("staged")) };
        if (head.staged)
            head.staged->number = rowVersion;
        return head;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json encodeReport(const Report& report)
{
    return {
        { "loaded", report.isLoaded },
        { "version", report.version },
        { "digest", report.digest },
        { "known_version", report.knownVersion },
        { "last_stage", report.lastStage },
        { "stage", report.stage ? encodeInfo(*report.stage) : Json() },
        { "contact_age_ms", encodeAge(report.contactAge) },
        { "pending_age_ms", encodeAge(report.pendingAge) },
    };
}

std::optional<Report> decodeReport(const Json& json)
{
    try {
        return Report {
            .isLoaded = json.at("loaded").get<bool>(),
            .version = json.at("version").get<Version>(),
            .digest = json.at("digest").get<std::string>(),
            .knownVersion = json.at("known_version").get<Version>(),
            .lastStage = json.at("last_stage").get<StageNumber>(),
            .stage = decodeOptionalInfo(json.at("stage")),
            .contactAge = decodeAge(json.at("contact_age_ms")),
            .pendingAge = decodeAge(json.at("pending_age_ms")),
        };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json encodeStage(const Stage& stage)
{
    return { { "info", encodeInfo(stage.info) }, { "table", encodeTable(stage.image) } };
}

std::optional<Stage> decodeStage(const Json& json)
{
    try {
        auto image = decodeTable(json.at("table").get_ref<const std::string&>());
        if (!image)
            return std::nullopt;
        return Stage { .info = decodeInfo(json.at("info")), .image = *std::move(image) };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}
