#include "amaranthhall/platform/platform_json.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhall::platform {

namespace {

    using Json = nlohmann::json;

    kernel::Address decodeAddress(const Json& vm, const char* field)
    {
        return kernel::parseAddress(vm.value(field, "")).value_or(kernel::Address {});
    }

    VmEntry decodeVm(const Json& vm)
    {
        return {
            .id = vm.at("id").get<std::string>(),
            .region = vm.value("region", ""),
            .zone = vm.value("zone", ""),
            .leaving = vm.value("leaving", false),
            .peer = decodeAddress(vm, "peer"),
            .admin = decodeAddress(vm, "admin"),
        };
    }

}

std::string encodeTransaction(const Transaction& transaction)
{
    auto conditions = Json::array();
    for (const auto& condition : transaction.conditions)
        conditions.push_back({ { "key", condition.key }, { "version", condition.version } });
    auto puts = Json::array();
    for (const auto& put : transaction.puts)
        puts.push_back({ { "key", put.key }, { "value", put.value } });
    return Json { { "request_id", transaction.requestId }, { "conditions", std::move(conditions) }, { "puts", std::move(puts) } }.dump();
}

PlatformResult<std::vector<Row>> decodeRows(std::string_view body)
{
    try {
        std::vector<Row> rows;
        const auto json = Json::parse(body);
        for (const auto& row : json.at("rows"))
            rows.push_back({ .key = row.at("key").get<std::string>(), .version = row.at("version").get<std::uint64_t>(), .value = row.at("value").get<std::string>() });
        return rows;
    } catch (const Json::exception&) {
        return tl::make_unexpected(PlatformError::Malformed);
    }
}

PlatformResult<std::vector<VmEntry>> decodeVms(std::string_view body)
{
    try {
        std::vector<VmEntry> vms;
        const auto json = Json::parse(body);
        for (const auto& vm : json.at("vms"))
            vms.push_back(decodeVm(vm));
        return vms;
    } catch (const Json::exception&) {
        return tl::make_unexpected(PlatformError::Malformed);
    }
}

}
