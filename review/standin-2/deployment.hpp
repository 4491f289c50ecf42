#pragma once

#include "caller.hpp"
#include "database.hpp"
#include "gateway.hpp"

#include <cstdlib>
#include <iostream>
#include <random>

namespace review {

/// @brief Exit codes of a case.
enum class Verdict : int {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// @brief Writes what happens into the file RECORD names, with the time since the start.
class Record {
public:
    Record()
        : file(std::getenv("RECORD") ? std::getenv("RECORD") : "/dev/stdout")
        , startedAt(Loop::now())
    {
    }

    void line(const std::string& text)
    {
        const auto elapsed = std::chrono::duration<double>(Loop::now() - this->startedAt).count();
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%8.3f  ", elapsed);
        this->file << stamp << text << std::endl;
    }

private:
    std::ofstream file;
    Time startedAt;
};

/// @brief One route of the configuration.
struct RouteSpec {
    std::string database;
    std::string type;
    std::string service;
    int maximumStalenessMs { 0 };
};

struct DeploymentOptions {
    std::vector<std::string> gatewayZones; ///< One gateway in each.
    unsigned synchronousReplicas { 0 };
    bool requiresFence { true };
    Millis promotion { 1000 };
    Millis receiveSpread { 0 }; ///< See DatabaseService::Options.
    Millis applyDelay { 8 }; ///< See DatabaseService::Options.
    std::vector<RouteSpec> routes;
    std::function<std::optional<Millis>(const FailoverCall&)> delayOf;
};

/// @brief A small deployment: store, cloud, one service of three databases, gateways.
class Deployment {
public:
    explicit Deployment(const DeploymentOptions& usedOptions)
        : options(usedOptions)
        , store(this->loop)
        , cloud(this->loop, { .requiresFence = usedOptions.requiresFence, .execute = [this](const auto& call) { return this->databases->promote(call.id); }, .delayOf = usedOptions.delayOf, .log = [this](const auto& text) { this->record.line(text); }, .broken = [this](const auto& rule, const auto& what) { this->breakRule(rule, what); } })
        , databases(std::make_unique<DatabaseService>(this->loop, this->store,
              DatabaseService::Options {
                  .name = "ledger",
                  .synchronousReplicas = usedOptions.synchronousReplicas,
                  .receiveSpread = usedOptions.receiveSpread,
                  .applyDelay = usedOptions.applyDelay,
                  .promotion = usedOptions.promotion,
                  .log = [this](const auto& text) { this->record.line(text); },
                  .broken = [this](const auto& rule, const auto& what) { this->breakRule(rule, what); },
              }))
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!mkdtemp(pattern.data()))
            throw std::runtime_error("no temporary folder");
        this->folder = pattern;
        this->putConfiguration();
        std::vector<std::string> hosts;
        for (std::size_t i = 0; i < this->options.gatewayZones.size(); ++i)
            hosts.push_back("127.0.0." + std::to_string(11 + i));
        const auto firstPort = findPorts(hosts, 5);
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            this->gateways.push_back(std::make_unique<Gateway>(Gateway::Options {
                .vm = "front-" + std::to_string(i + 1),
                .zone = this->options.gatewayZones[i],
                .host = hosts[i],
                .firstPort = firstPort,
                .seedHosts = { hosts.front() },
                .storePort = this->store.port(),
                .cloudPort = this->cloud.port(),
                .folder = this->folder,
            }));
        }
    }
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;
    ~Deployment()
    {
        this->gateways.clear();
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(this->folder);
        else
            std::cerr << this->folder << '\n';
    }

    /// @brief Starts all gateways; returns whether they are ready within 20 s.
    bool start()
    {
        for (const auto& gateway : this->gateways)
            gateway->start();
        const bool areReady = this->loop.runUntil([this] { return this->areAllReady(); }, std::chrono::seconds(20));
        this->record.line(areReady ? "all gateways are ready" : "the gateways are not ready");
        return areReady;
    }

    void breakRule(const std::string& rule, const std::string& what)
    {
        ++this->broken[rule];
        this->record.line("BROKEN " + rule + ": " + what);
    }

    [[nodiscard]] Verdict verdict()
    {
        for (const auto& [rule, count] : this->broken)
            this->record.line("broken: " + rule + ", " + std::to_string(count) + " times");
        this->record.line(this->broken.empty() ? "verdict: held" : "verdict: broken");
        return this->broken.empty() ? Verdict::Held : Verdict::Broken;
    }

    DeploymentOptions options;
    Record record;
    Loop loop;
    Store store;
    Cloud cloud;
    std::unique_ptr<DatabaseService> databases;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::map<std::string, int> broken;

private:
    /// The probes wait for an answer that the gateways may give only after the store's, so they run between turns of the loop.
    bool areAllReady()
    {
        if (Loop::now() - this->probedAt < Millis(200))
            return false;
        this->probedAt = Loop::now();
        return std::all_of(this->gateways.begin(), this->gateways.end(), [](const auto& gateway) { return gateway->isReady(); });
    }

    void putConfiguration()
    {
        auto routes = Json::array();
        for (const auto& route : this->options.routes) {
            Json entry { { "name", "r-" + route.database }, { "host", route.database }, { "path_prefix", "/" }, { "route_type", route.type }, { "timeout_ms", 800 }, { "target_latency_ms", 100 }, { "priority", 1 }, { "service", route.service }, { "max_attempts", 2 } };
            if (route.maximumStalenessMs > 0)
                entry["max_staleness_ms"] = route.maximumStalenessMs;
            routes.push_back(entry);
        }
        const auto services = Json::array({ Json { { "name", this->databases->name() }, { "health_path", "/health" }, { "max_conns", 34 }, { "protocol", "h1" }, { "tls", false }, { "sync_replicas", this->options.synchronousReplicas } } });
        this->store.put("op", "config", Json { { "version", 7 }, { "routes", routes }, { "services", services }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 }, { "tx_idle_ms", 3000 } } } }.dump());
    }

    std::string folder;
    Time probedAt;
};

/// @brief Consumers that write without a pause, a statement or a transaction at a time, and check what they are told.
class Writers {
public:
    Writers(Deployment& usedDeployment, std::string usedDatabase, Millis usedPause)
        : deployment(usedDeployment)
        , database(std::move(usedDatabase))
        , pause(usedPause)
    {
    }

    void add(const Gateway& gateway, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->writers.push_back(std::make_unique<Writer>(Writer { .gateway = &gateway, .caller = std::make_unique<Caller>(this->deployment.loop, "c" + std::to_string(this->writers.size() + 1)) }));
            auto& writer = *this->writers.back();
            this->deployment.loop.after(Millis(7 * this->writers.size()), [this, &writer] { this->next(writer); });
        }
    }

    void stop() { this->isStopped = true; }

    /// @brief Checks at the end: no promised attempt is kept, no write took effect twice.
    void check()
    {
        for (const auto& id : this->promised) {
            if (this->deployment.databases->countOf(id) > 0)
                this->deployment.breakRule("REFUSED", id + " was answered with a promise and is committed");
        }
        for (const auto& id : this->sent) {
            if (this->deployment.databases->countOf(id) > 1)
                this->deployment.breakRule("TWICE", id + " is committed twice");
        }
        std::string counts;
        for (const auto& [code, count] : this->codes)
            counts += " " + (code.empty() ? std::string("success") : code) + "=" + std::to_string(count);
        this->deployment.record.line("answers to writes:" + counts);
    }

    std::map<std::string, std::size_t> codes;

private:
    struct Writer {
        const Gateway* gateway;
        std::unique_ptr<Caller> caller;
    };

    void later(Writer& writer, Millis delay)
    {
        if (!this->isStopped)
            this->deployment.loop.after(delay, [this, &writer] { this->next(writer); });
    }

    void next(Writer& writer)
    {
        if (this->isStopped)
            return;
        if (!writer.caller->isOpen() && !writer.caller->open(writer.gateway->host(), writer.gateway->callerPort(), this->database)) {
            this->later(writer, Millis(100));
            return;
        }
        if (!writer.caller->isReady()) {
            this->later(writer, Millis(5));
            return;
        }
        writer.caller->send("WRITE item" + std::to_string(++this->items) + " data", [this, &writer](const Outcome& outcome) { this->onAnswer(writer, outcome); });
    }

    void onAnswer(Writer& writer, const Outcome& outcome)
    {
        ++this->codes[outcome.code];
        this->sent.push_back(outcome.id);
        this->deployment.record.line("  " + writer.gateway->vm() + " " + outcome.id + " " + outcome.text + " -> " + (outcome.code.empty() ? "COMPLETE " + outcome.digest : outcome.code));
        if (outcome.code.empty())
            this->deployment.databases->acknowledge(outcome.digest);
        else if (isPromise(outcome.code))
            this->promised.push_back(outcome.id);
        if (outcome.code == "CLOSED")
            writer.caller->close();
        this->later(writer, this->pause);
    }

    Deployment& deployment;
    std::string database;
    Millis pause;
    std::vector<std::unique_ptr<Writer>> writers;
    std::vector<std::string> promised;
    std::vector<std::string> sent;
    std::size_t items { 0 };
    bool isStopped { false };
};

/// @brief Returns whether the case runs with its disruption.
inline bool hasTrouble()
{
    const auto* text = std::getenv("TROUBLE");
    return !text || std::string_view(text) != "0";
}

/// @brief Runs a case and returns its exit code.
inline int runCase(const std::function<Verdict()>& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return static_cast<int>(body());
    } catch (const std::exception& exception) {
        std::cerr << "the case could not run: " << exception.what() << '\n';
        return static_cast<int>(Verdict::NotRun);
    }
}

}
