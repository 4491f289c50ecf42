#pragma once

// The platform's store (rows in tables, transactions under conditions, a feed of changes), as PROTOCOL.md tells it.

#include "http_server.hpp"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <tuple>

namespace review {

inline std::string encodeBase64(std::string_view bytes)
{
    static constexpr char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = (group << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out.push_back(i + k <= bytes.size() ? letters[(group >> (18U - 6U * k)) & 63U] : '=');
    }
    return out;
}

class Store {
public:
    explicit Store(const Endpoint& listen)
        : server(listen, [this](const HttpRequest& request) { return this->serve(request); })
    {
    }

    [[nodiscard]] const Endpoint& address() const { return this->server.address(); }

    /// Writes a row of the operator or of a backend; returns once the store has confirmed it.
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        const std::lock_guard guard(this->mutex);
        this->rows[{ table, "", key }] = { .value = encodeBase64(value), .version = ++this->version };
        this->changed.notify_all();
    }

    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard guard(this->mutex);
        this->rows[{ table, "", key }] = { .version = ++this->version, .isRemoved = true };
        this->changed.notify_all();
    }

private:
    using Json = nlohmann::json;
    using Key = std::tuple<std::string, std::string, std::string>;

    struct Row {
        std::string value {};
        std::uint64_t version { 0 };
        bool isRemoved { false };
    };

    static constexpr Milliseconds callTime { 4 };

    static std::string parameter(const HttpRequest& request, const std::string& name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    }

    [[nodiscard]] Json stamp() const
    {
        return { { "ver", this->version }, { "now_ms", std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count() } };
    }

    static Json describe(const Key& key, const Row& row)
    {
        Json entry { { "table", std::get<0>(key) }, { "part", std::get<1>(key) }, { "key", std::get<2>(key) }, { "ver", row.version } };
        if (row.isRemoved)
            entry["tombstone"] = true;
        else
            entry["value"] = row.value;
        return entry;
    }

    HttpResponse serve(const HttpRequest& request)
    {
        std::this_thread::sleep_for(callTime);
        if (request.path == "/v1/rows-get")
            return this->list(request);
        if (request.path == "/v1/rows-feed")
            return this->feed(request);
        if (request.path == "/v1/rows-tx")
            return this->commit(request);
        return { .status = 404 };
    }

    HttpResponse list(const HttpRequest& request)
    {
        const std::lock_guard guard(this->mutex);
        auto answer = this->stamp();
        answer["rows"] = Json::array();
        answer["has_more"] = false;
        for (const auto& [key, row] : this->rows) {
            const bool isWanted = std::get<0>(key) == parameter(request, "table") && std::get<1>(key) == parameter(request, "part") && std::get<2>(key) >= parameter(request, "from");
            if (isWanted && !row.isRemoved)
                answer["rows"].push_back(describe(key, row));
        }
        return { .body = answer.dump() };
    }

    HttpResponse feed(const HttpRequest& request)
    {
        const auto table = parameter(request, "table");
        const auto after = static_cast<std::uint64_t>(std::atoll(parameter(request, "after").c_str()));
        const auto deadline = Clock::now() + Milliseconds(std::atoll(parameter(request, "wait_ms").c_str()));
        std::unique_lock lock(this->mutex);
        while (true) {
            std::map<std::uint64_t, Json> changes;
            for (const auto& [key, row] : this->rows) {
                if (std::get<0>(key) == table && row.version > after)
                    changes.emplace(row.version, describe(key, row));
            }
            if (changes.empty() && this->changed.wait_until(lock, deadline) != std::cv_status::timeout)
                continue;
            auto answer = this->stamp();
            answer["rows"] = Json::array();
            for (auto& [number, row] : changes)
                answer["rows"].push_back(std::move(row));
            return { .body = answer.dump() };
        }
    }

    HttpResponse commit(const HttpRequest& request)
    {
        const auto json = Json::parse(request.body, nullptr, false);
        if (!json.is_object())
            return { .status = 400 };
        const auto keyOf = [](const Json& entry) { return Key { entry.at("table").get<std::string>(), entry.value("part", ""), entry.at("key").get<std::string>() }; };
        const std::lock_guard guard(this->mutex);
        for (const auto& condition : json.value("expect_rev", Json::array())) {
            const auto found = this->rows.find(keyOf(condition));
            const auto present = found == this->rows.end() || found->second.isRemoved ? 0 : found->second.version;
            if (present != condition.at("ver").get<std::uint64_t>()) {
                auto answer = this->stamp();
                answer["rows"] = Json::array();
                if (present != 0)
                    answer["rows"].push_back(describe(found->first, found->second));
                return { .status = 412, .body = answer.dump() };
            }
        }
        ++this->version;
        for (const auto& entry : json.value("set_keys", Json::array()))
            this->rows[keyOf(entry)] = { .value = entry.at("value").get<std::string>(), .version = this->version };
        for (const auto& entry : json.value("remove", Json::array()))
            this->rows[keyOf(entry)] = { .version = this->version, .isRemoved = true };
        this->changed.notify_all();
        return { .body = this->stamp().dump() };
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    std::uint64_t version { 100 };
    HttpServer server;
};

}
