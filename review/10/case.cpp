// A call of POST /failover gets no answer and is carried out 8 s later. A daemon that was restarted meanwhile has not heard of its candidate.

#include "deployment.hpp"

using namespace review;

namespace {

constexpr Millis downTime { 1000 };
constexpr Millis lateness { 8000 }; // the bench's kinds: 2 to 12 s
constexpr Millis stopAfter { 500 }; // after the primary is back
constexpr Millis startAfter { 5500 }; // after the call arrived
constexpr Millis deafFrom { 6500 }; // after the call arrived
constexpr Millis deafFor { 4000 };

Verdict play()
{
    const bool trouble = hasTrouble();
    FailoverCall first;
    DeploymentOptions options { .gatewayZones = { "zone-a", "zone-b", "zone-c" }, .synchronousReplicas = 1 };
    options.routes = { { .database = "orders", .type = "primary", .service = "ledger" } };
    options.delayOf = [&](const FailoverCall& call) -> std::optional<Millis> {
        const bool isFirst = first.id.empty();
        if (isFirst)
            first = call;
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
    auto& loop = deployment.loop;
    const auto primary = databases.leader();
    databases.crash(primary);
    loop.after(downTime, [&] { databases.restart(primary); });
    if (!loop.runUntil([&] { return !first.id.empty(); }, downTime))
        return Verdict::NotRun;
    const auto calledAt = Loop::now();
    const auto runUntil = [&](Millis time) { loop.runFor(calledAt + time - Loop::now()); };
    runUntil(downTime + stopAfter);

    // A planned restart of one daemon that is not the holder of the duty.
    auto& restarted = **std::find_if(deployment.gateways.begin(), deployment.gateways.end(), [&](const auto& gateway) { return gateway->vm() != first.holder; });
    deployment.record.line(restarted.vm() + " gets SIGTERM");
    restarted.signal(SIGTERM);
    if (!loop.runUntil([&] { return !restarted.isRunning(); }, std::chrono::seconds(6)))
        restarted.kill();
    runUntil(startAfter);
    deployment.record.line(restarted.vm() + " starts again");
    restarted.start();

    runUntil(deafFrom);
    const auto chosen = databases.indexOf(first.id);
    const bool isReplica = databases.leader() != chosen;
    if (isReplica)
        databases.setDeaf(chosen, true);
    runUntil(deafFrom + deafFor);
    databases.setDeaf(chosen, false);
    loop.runFor(std::chrono::seconds(2));
    writers.stop();
    loop.runFor(std::chrono::seconds(1));
    writers.check();
    return deployment.verdict();
}

}

int main()
{
    return runCase(play);
}
