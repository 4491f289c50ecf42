#include "amaranthhall/table/table_json.hpp"

#include "amaranthhall/table/columns.hpp"
#include "amaranthhall/table/row_reader.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace amaranthhall::table {

namespace {

    using Json = nlohmann::ordered_json;

    template <typename RowType>
    Json encodeRow(const RowType& row, std::span<const Column<RowType>> columns)
    {
        auto json = Json::object();
        for (const auto& column : columns) {
            const auto text = column.read(row);
            if (column.isNumber)
                json[std::string(column.name)] = std::stoul(text);
            else
                json[std::string(column.name)] = text;
        }
        return json;
    }

    template <typename RowType>
    std::vector<RowType> decodeRows(const Json& rows, std::span<const Column<RowType>> columns, Problems& problems)
    {
        std::vector<RowType> decoded;
        for (const auto& json : rows) {
            internal::RowReader<RowType> reader(columns, 0);
            for (const auto& [name, value] : json.items()) {
                if (value.is_string())
                    reader.write(name, value.template get_ref<const std::string&>());
                else if (value.is_number_unsigned())
                    reader.write(name, value.dump());
                else
                    reader.report(name, value.dump() + " is neither text nor a whole number");
            }
            decoded.push_back(reader.finish(problems));
        }
        return decoded;
    }

    tl::expected<TableImage, Problems> decodeImage(const Json& json)
    {
        Problems problems;
        for (const auto& [name, value] : json.items()) {
            if (name != "version" && name != "services" && name != "upstreams")
                problems.push_back({ .column = name, .text = "a table consists of version, services and upstreams" });
        }
        TableImage image { .version = json.value("version", Version { 0 }) };
        image.services = decodeRows(json.at("services"), serviceColumns(), problems);
        image.upstreams = decodeRows(json.at("upstreams"), upstreamColumns(), problems);
        if (!problems.empty())
            return tl::make_unexpected(std::move(problems));
        return image;
    }

}

std::string encodeTable(const TableImage& image)
{
    auto services = Json::array();
    for (const auto& row : image.services)
        services.push_back(encodeRow(row, serviceColumns()));
    auto upstreams = Json::array();
    for (const auto& row : image.upstreams)
        upstreams.push_back(encodeRow(row, upstreamColumns()));
    return Json { { "version", image.version }, { "services", std::move(services) }, { "upstreams", std::move(upstreams) } }.dump();
}

tl::expected<TableImage, Problems> readTableJson(std::string_view text)
{
    try {
        return decodeImage(Json::parse(text));
    } catch (const Json::exception& exception) {
        return tl::make_unexpected(Problems { { .text = std::string("not a table in JSON: ") + exception.what() } });
    }
}

std::optional<TableImage> decodeTable(std::string_view text)
{
    auto image = readTableJson(text);
    if (!image)
        return std::nullopt;
    return *std::move(image);
}

std::string digestTable(const TableImage& image)
{
    constexpr auto digits = "0123456789abcdef";
    const auto text = encodeTable(image);
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    unsigned int length { 0 };
    EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    std::string digest;
    for (unsigned int i = 0; i < length; ++i) {
        digest += digits[bytes.at(i) >> 4U];
        digest += digits[bytes.at(i) & 15U];
    }
    return digest;
}

}
