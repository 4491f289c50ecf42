#include "amaranthhall/standin/platform_store.hpp"

namespace amaranthhall::standin {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr std::size_t rememberedAnswers = 10'000;

    std::string formatEtag(std::uint64_t generation)
    {
        return "\"" + std::to_string(generation) + "\"";
    }

}

bool PlatformStore::admit(Window& window, std::uint32_t limit, Time now)
{
    if (now - window.start >= 1s)
        window = { .start = now };
    return ++window.count <= limit;
}

bool PlatformStore::admitRead(Time now)
{
    ++this->counts.reads;
    const auto admitted = admit(this->reads, this->limits.readsPerSecond, now);
    this->counts.throttled += admitted ? 0 : 1;
    return admitted;
}

bool PlatformStore::admitWrite(Time now)
{
    ++this->counts.writes;
    const auto admitted = admit(this->writes, this->limits.writesPerSecond, now);
    this->counts.throttled += admitted ? 0 : 1;
    return admitted;
}

PlatformAnswer PlatformStore::transact(const Json& request)
{
    const auto id = request.at("request_id").get<std::string>();
    if (const auto found = this->answers.find(id); found != this->answers.end())
        return found->second;
    auto answer = this->apply(request);
    this->remember(id, answer);
    return answer;
}

PlatformAnswer PlatformStore::apply(const Json& request)
{
    auto conflicts = Json::array();
    for (const auto& condition : request.at("conditions")) {
        auto row = this->readRow(condition.at("key").get<std::string>());
        if (row.at("version") != condition.at("version"))
            conflicts.push_back(std::move(row));
    }
    if (!conflicts.empty())
        return { .status = 409, .body = { { "rows", std::move(conflicts) } } };
    auto written = Json::array();
    for (const auto& put : request.at("puts")) {
        const auto key = put.at("key").get<std::string>();
        auto& row = this->rows[key];
        row.value = put.at("value").get<std::string>();
        ++row.version;
        written.push_back(this->readRow(key));
    }
    return { .body = { { "rows", std::move(written) } } };
}

void PlatformStore::remember(const std::string& requestId, const PlatformAnswer& answer)
{
    this->answers.emplace(requestId, answer);
    this->answerOrder.push_back(requestId);
    if (this->answerOrder.size() > rememberedAnswers) {
        this->answers.erase(this->answerOrder.front());
        this->answerOrder.pop_front();
    }
}

Json PlatformStore::readRow(const std::string& key) const
{
    const auto found = this->rows.find(key);
    const auto row = found == this->rows.end() ? StoredRow {} : found->second;
    return { { "key", key }, { "version", row.version }, { "value", row.value } };
}

Json PlatformStore::readRows(std::string_view prefix) const
{
    auto found = Json::array();
    for (auto row = this->rows.lower_bound(std::string(prefix)); row != this->rows.end() && row->first.starts_with(prefix); ++row)
        found.push_back(this->readRow(row->first));
    return found;
}

PlatformAnswer PlatformStore::readObject(const std::string& name) const
{
    const auto found = this->objects.find(name);
    if (found == this->objects.end())
        return { .status = 404 };
    return { .body = { { "etag", formatEtag(found->second.generation) }, { "body", found->second.body } } };
}

PlatformAnswer PlatformStore::writeObject(const std::string& name, std::string body, std::string_view ifMatch)
{
    const auto found = this->objects.find(name);
    const auto present = found == this->objects.end() ? std::string() : formatEtag(found->second.generation);
    if (present != ifMatch)
        return { .status = 412 };
    auto& object = this->objects[name];
    object.body = std::move(body);
    ++object.generation;
    return { .body = { { "etag", formatEtag(object.generation) } } };
}

void PlatformStore::putVm(const Json& vm, Time now)
{
    this->vms[vm.at("id").get<std::string>()] = vm;
    this->vmHistory.emplace_back(now, this->vms);
}

void PlatformStore::removeVm(const std::string& id, Time now)
{
    this->vms.erase(id);
    this->vmHistory.emplace_back(now, this->vms);
}

Json PlatformStore::listVms(Time now, Duration lag) const
{
    auto listed = Json::array();
    for (auto entry = this->vmHistory.rbegin(); entry != this->vmHistory.rend(); ++entry) {
        if (entry->first > now - lag)
            continue;
        for (const auto& [id, vm] : entry->second)
            listed.push_back(vm);
        break;
    }
    return listed;
}

}
