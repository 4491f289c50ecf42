// A call of POST /failover gets no answer and is carried out 12 s later; the primary that it was to replace came back after a second.

#include "deployment.hpp"

using namespace review;

namespace {

constexpr Millis downTime { 1000 };
constexpr Millis lateness { 11'500 }; // the bench's kinds: 2 to 12 s
constexpr Millis deafFrom { 9'500 }; // after the call arrived
constexpr Millis deafFor { 3500 };

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
    const auto primary = databases.leader();
    databases.crash(primary);
    deployment.loop.after(downTime, [&] { databases.restart(primary); });
    if (!deployment.loop.runUntil([&] { return !candidate.empty(); }, downTime))
        return Verdict::NotRun;
    const auto chosen = databases.indexOf(candidate);
    deployment.loop.runFor(deafFrom);
    if (databases.leader() != chosen)
        databases.setDeaf(chosen, true);
    deployment.loop.runFor(deafFor);
    databases.setDeaf(chosen, false);
    deployment.loop.runFor(std::chrono::seconds(2));
    writers.stop();
    deployment.loop.runFor(std::chrono::seconds(1));
    writers.check();
    return deployment.verdict();
}

}

int main()
{
    return runCase(play);
}
