#pragma once

// A small deployment: store, endpoint for promotions, services of three backends, and gateways in three zones.

#include "caller.hpp"
#include "database.hpp"
#include "gateway.hpp"

namespace review {

struct DeploymentOptions {
    int services { 3 };
    int gateways { 3 };
    ServiceOptions service {};
};

class Deployment {
public:
    Deployment(Record& usedRecord, const DeploymentOptions& options)
        : record(usedRecord)
        , store({ .host = "127.0.3.1", .port = 0 })
    {
        std::vector<Service*> known;
        for (int i = 1; i <= options.services; ++i) {
            auto service = options.service;
            service.name = "ledger" + std::to_string(i);
            service.host = "127.0.2." + std::to_string(i);
            this->services.push_back(std::make_unique<Service>(usedRecord, this->store, service));
            known.push_back(this->services.back().get());
        }
        this->writeConfiguration();
        this->cloud = std::make_unique<Cloud>(usedRecord, Endpoint { .host = "127.0.3.2", .port = 0 }, known);
        this->makeGateways(options.gateways);
    }

    /// Starts all gateways and waits until they are ready; must be called by the main thread.
    bool start()
    {
        for (const auto& gateway : this->gateways)
            gateway->start();
        return waitUntilReady(this->gateways, Milliseconds(20000));
    }

    [[nodiscard]] static std::string orders(std::size_t service) { return "orders" + std::to_string(service + 1); }
    [[nodiscard]] static std::string lookups(std::size_t service) { return "lookups" + std::to_string(service + 1); }
    [[nodiscard]] static std::string updates(std::size_t service) { return "updates" + std::to_string(service + 1); }

    Record& record;
    Store store;
    std::vector<std::unique_ptr<Service>> services;
    std::unique_ptr<Cloud> cloud;
    TemporaryFolder folder;
    std::vector<std::unique_ptr<Gateway>> gateways;

private:
    void writeConfiguration()
    {
        nlohmann::json json { { "version", 7 }, { "routes", nlohmann::json::array() }, { "services", nlohmann::json::array() }, { "limits", { { "tx_idle_ms", 3000 } } } };
        for (std::size_t i = 0; i < this->services.size(); ++i) {
            const auto& service = this->services[i]->name();
            const auto addRoute = [&](const std::string& host, const char* type, int timeout, int target, int priority, int staleness) {
                nlohmann::json route { { "name", "r-" + host }, { "host", host }, { "path_prefix", "/" }, { "route_type", type }, { "timeout_ms", timeout }, { "target_latency_ms", target }, { "priority", priority }, { "service", service }, { "max_attempts", 2 } };
                if (staleness > 0)
                    route["max_staleness_ms"] = staleness;
                json["routes"].push_back(route);
            };
            addRoute(orders(i), "primary", 800, 100, 1, 0);
            addRoute(lookups(i), "bounded_staleness", 1200, 300, 2, 1500);
            addRoute(updates(i), "read_your_writes", 800, 200, 2, 2500);
            json["services"].push_back({ { "name", service }, { "health_path", "/health" }, { "max_conns", 34 }, { "protocol", "h1" }, { "tls", false }, { "sync_replicas", this->services[i]->syncReplicas() } });
        }
        this->store.put("op", "config", json.dump());
    }

    void makeGateways(int count)
    {
        const int port = findFreePorts("127.0.4.1", 5);
        std::vector<std::string> seeds;
        for (int i = 1; i <= std::min(3, count); ++i)
            seeds.push_back("127.0.4." + std::to_string(i) + ":" + std::to_string(port + 2));
        for (int i = 1; i <= count; ++i) {
            GatewayOptions options { .vm = "front-" + std::to_string(i), .zone = std::string(1, static_cast<char>('a' + (i - 1) % 3)), .host = "127.0.4." + std::to_string(i), .port = port, .seeds = seeds, .store = this->store.address().text(), .orders = this->cloud->address().text() };
            this->gateways.push_back(std::make_unique<Gateway>(this->record, this->folder, std::move(options)));
        }
    }
};

/// Ends the run: 1 if the rule was broken, 0 if it held. Threads of the stand-ins end with the process.
[[noreturn]] inline void finish(Record& record, Deployment& deployment, int code)
{
    for (const auto& gateway : deployment.gateways)
        gateway->kill();
    record.say("ends with " + std::to_string(code));
    record.flush();
    std::error_code ignored;
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(deployment.folder.path, ignored);
    _exit(code);
}

}
