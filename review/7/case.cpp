// A call of POST /failover gets no answer and is carried out late, while another daemon has announced another candidate.

#include "deployment.hpp"

using namespace review;

namespace {

constexpr Millis lateness { 2600 }; // PROTOCOL.md: "seconds later"; the bench's kinds: 2 to 12 s
constexpr Millis deafFrom { 1000 }; // after the call arrived
constexpr Millis deafFor { 5000 };

Verdict play()
{
    const bool trouble = hasTrouble();
    std::string candidate; // of the first call
    DeploymentOptions options { .gatewayZones = { "zone-a", "zone-b", "zone-c" }, .synchronousReplicas = 1 };
    options.routes = { { .database = "orders", .type = "primary", .service = "ledger" } };
    options.delayOf = [&](const FailoverCall& call) -> std::optional<Millis> {
        const bool isFirst = candidate.empty();
        if (isFirst)
            candidate = call.id;
        return trouble && isFirst ? std::optional(lateness) : std::nullopt;
    };
    Deployment deployment(options);
    if (!deployment.start())
        return Verdict::NotRun;
    Writers writers(deployment, "orders", Millis(10));
    for (const auto& gateway : deployment.gateways)
        writers.add(*gateway, 2);
    deployment.loop.runFor(std::chrono::seconds(3));

    auto& databases = *deployment.databases;
    databases.drain(databases.leader());
    if (!deployment.loop.runUntil([&] { return !candidate.empty(); }, std::chrono::seconds(5)))
        return Verdict::NotRun;
    const auto chosen = databases.indexOf(candidate);
    deployment.loop.runFor(deafFrom);
    if (trouble)
        databases.setDeaf(chosen, true);
    deployment.loop.runFor(deafFor);
    if (trouble)
        databases.setDeaf(chosen, false);
    deployment.loop.runFor(std::chrono::seconds(2));
    writers.stop();
    deployment.loop.runFor(std::chrono::seconds(1));
    writers.check();
    return databases.acknowledgedCount() > 100 ? deployment.verdict() : Verdict::NotRun;
}

}

int main()
{
    return runCase(play);
}
