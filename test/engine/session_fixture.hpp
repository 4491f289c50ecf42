#pragma once

#include "amaranthhall/engine/session.hpp"
#include "amaranthhall/freshness/boot_clock.hpp"
#include "engine/fake_links.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranthhall::engine::fakes {

using namespace std::chrono_literals;

/// Records the replies of a session.
class RecordingChannel final : public CallerChannel {
public:
    void acceptSession() override { this->isAccepted = true; }
    void refuse(ReplyCode code, std::string_view) override { this->refusal = code; }
    void sendReply(const Reply& reply) override { this->answers.push_back(reply); }
    void sendFinalReply(const Reply& reply) override
    {
        this->isClosed = true;
        this->answers.push_back(reply);
    }
    void close() override { this->isClosed = true; }

    bool isClosed { false };
    bool isAccepted { false };
    ReplyCode refusal { ReplyCode::None };
    std::vector<Reply> answers;
};

/// Relays statements to simulated daemons that reply immediately.
class FakeRelays final : public RelayRouter {
public:
    class Stream final : public RelayStream {
    public:
        Stream(FakeRelays& usedRelays, std::string usedVm)
            : relays(usedRelays)
            , name(std::move(usedVm))
        {
        }
        void send(const RelayedRequest& request, Done done) override
        {
            this->relays.sent.push_back(this->name + " " + request.request.text);
            this->relays.loop.post([code = this->relays.codes[this->name], isLeaderUnreachable = this->relays.daemonsWithoutLeader.contains(this->name), done = std::move(done)] { done({ .reply = { .digest = "relayed", .code = code, .isLeaderUnreachable = isLeaderUnreachable } }); });
        }
        [[nodiscard]] const std::string& vm() const noexcept override { return this->name; }
        [[nodiscard]] Duration silence(Time) const noexcept override { return {}; }
        void noteStall() override { }

    private:
        FakeRelays& relays;
        std::string name;
    };

    explicit FakeRelays(kernel::Loop& usedLoop) noexcept
        : loop(usedLoop)
    {
    }

    [[nodiscard]] bool hasLocalConnections(std::string_view) override { return this->hasConnections; }
    [[nodiscard]] bool isHomeOf(std::string_view, std::string_view organisation) override { return this->hasConnections && !this->foreignOrganisations.contains(organisation); }
    void noteLeaderReachability(std::string_view, const std::string& vm, LeaderReachability reach) override { this->reachability[vm] = reach; }
    [[nodiscard]] std::unique_ptr<RelayStream> open(const RelayRequirements& requirements) override
    {
        for (const auto* vm : { "d1", "d2", "d3", "d4", "d5" }) {
            if (std::find(requirements.tried.begin(), requirements.tried.end(), vm) == requirements.tried.end())
                return std::make_unique<Stream>(*this, vm);
        }
        return nullptr;
    }

    kernel::Loop& loop;
    std::map<std::string, ReplyCode> codes; ///< Reply code by daemon; success if absent.
    std::set<std::string> daemonsWithoutLeader; ///< Daemons whose refusal reports that they do not reach the leader.
    std::map<std::string, LeaderReachability> reachability; ///< As recorded by the session.
    std::set<std::string, std::less<>> foreignOrganisations; ///< Organisations whose statements another daemon runs.
    bool hasConnections { true }; ///< Whether the session's daemon has upstream connections.
    std::vector<std::string> sent;
};

/// Admits a number of operations, then refuses; records what was asked.
class FakeLimiter final : public OperationLimiter {
public:
    void admit(const Operation& operation, Done done) override
    {
        this->asked.emplace_back(operation.organisation);
        done(this->remaining-- > 0);
    }

    std::vector<std::string> asked; ///< Organisations, in order.
    int remaining { 0 };
};

/// Returns a configuration with a route of each consistency to the service "s".
inline catalog::Configuration configuration()
{
    catalog::Configuration result { .version = 1, .transactionIdleLimit = 60ms };
    const auto add = [&](const char* database, catalog::Consistency consistency) {
        result.routes[database] = { .database = database, .service = "s", .consistency = consistency, .statementTimeout = 250ms, .targetLatency = 200ms, .maximumStaleness = 2000ms };
    };
    add("strict", catalog::Consistency::Primary);
    add("stale", catalog::Consistency::BoundedStaleness);
    add("own", catalog::Consistency::ReadYourWrites);
    result.services["s"] = { .name = "s", .maximumConnections = 30 };
    return result;
}

/// @brief A session of a daemon with a primary "p" and a replica "r", both simulated.
struct SessionFixture : public Utest {
    kernel::Loop loop;
    catalog::Catalog testCatalog;
    FakeLinkFactory links { this->loop };
    std::unique_ptr<Dispatcher> dispatcher;
    telemetry::Metrics metrics;
    RequestLog log { this->metrics };
    std::unique_ptr<SessionContext> context;
    RecordingChannel channel;
    std::unique_ptr<Session> session;

    void setup() override
    {
        this->testCatalog.apply(configuration());
        this->testCatalog.put({ .id = "p", .service = "s", .role = catalog::Role::Primary, .slots = 2 }, { .number = 1 }, this->loop.now());
        this->testCatalog.put({ .id = "r", .service = "s", .role = catalog::Role::Replica, .slots = 2 }, { .number = 2 }, this->loop.now());
        this->dispatcher = std::make_unique<Dispatcher>(this->loop, this->links, this->testCatalog, Dispatcher::Options { .zone = "z", .upstreamDrainLimit = 100ms, .sharers = [](auto) { return std::optional<std::size_t>(1); } });
        this->dispatcher->onCatalogChanged();
        this->context = std::make_unique<SessionContext>(SessionContext { .loop = this->loop, .catalog = this->testCatalog, .dispatcher = *this->dispatcher, .log = this->log, .budget = {} });
    }

    void teardown() override { this->session.reset(); }

    void open(const char* database, const char* key = "")
    {
        this->session = std::make_unique<Session>(*this->context, this->channel);
        this->session->start(database, key);
    }

    /// Applies a configuration in which each key belongs to an organisation.
    void useKeys(std::uint64_t version, const std::map<std::string, std::string>& holders, std::uint32_t connections = 30, bool isPublic = false, std::optional<catalog::OperationLimit> limit = std::nullopt)
    {
        auto fresh = configuration();
        fresh.version = version;
        fresh.services["s"].maximumConnections = connections;
        for (auto& [database, route] : fresh.routes)
            route.isPublic = isPublic;
        fresh.organisations.emplace();
        for (const auto& [key, organisation] : holders) {
            fresh.organisations->add({ .name = organisation, .limit = limit });
            fresh.organisations->addKey(organisation, hashing::digestOf(key));
        }
        this->testCatalog.apply(std::move(fresh));
        this->dispatcher->onCatalogChanged();
    }

    /// Sends a statement and returns the reply.
    Reply ask(RequestKind kind, const char* text, std::string name = {}, std::string value = {}, bool writes = false)
    {
        const auto before = this->channel.answers.size();
        this->session->handle({ .id = "q" + std::to_string(before), .kind = kind, .text = text, .name = std::move(name), .value = std::move(value), .writes = writes });
        this->runWhile([&] { return this->channel.answers.size() == before; });
        CHECK(this->channel.answers.size() == before + 1);
        return this->channel.answers.back();
    }

    void runWhile(const std::function<bool()>& condition, Duration limit = 2s)
    {
        const auto end = this->loop.now() + limit;
        const auto ticker = this->loop.every(1ms, [&] {
            if (!condition() || this->loop.now() > end)
                this->loop.stop();
        });
        this->loop.run();
    }

    void runFor(Duration span)
    {
        this->runWhile([] { return true; }, span);
    }

    Reply read() { return this->ask(RequestKind::Read, "READ a"); }
    Reply write() { return this->ask(RequestKind::Write, "WRITE a b", {}, {}, true); }

    [[nodiscard]] bool wasSent(const char* upstream, const std::string& part) { return this->countSent(upstream, part) > 0; }

    [[nodiscard]] long countSent(const char* upstream, const std::string& part)
    {
        const auto& sent = this->links.upstreams[upstream].sent;
        return std::count_if(sent.begin(), sent.end(), [&](const auto& text) { return text.find(part) != std::string::npos; });
    }
};

}
