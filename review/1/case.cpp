// LOST: a service has sync_replicas = 1, and its primaries are replaced by planned releases while callers write.

#include "../standin/deployment.hpp"

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr auto firstRelease = 3s;
constexpr auto releaseGap = 5500ms;
constexpr int releases = 16;
constexpr auto drainTime = 7500ms; // drain_ms and a little longer
constexpr int writersPerService = 6;

/// Writes one item after the other, each with data of its own, on a session at a gateway.
void writeForever(Record& record, Deployment& deployment, std::size_t service, std::size_t gateway, int writer)
{
    auto& database = *deployment.services[service];
    std::unique_ptr<Caller> caller;
    for (std::uint64_t number = 0;; ++number) {
        if (!caller || !caller->isUsable()) {
            caller = std::make_unique<Caller>(deployment.gateways[gateway]->callers(), Deployment::orders(service));
            if (!caller->isUsable())
                std::this_thread::sleep_for(50ms);
            continue;
        }
        const auto id = newId();
        const auto data = "d" + id;
        const auto reply = caller->query(id, "WRITE item" + std::to_string(writer) + " " + data);
        record.write(deployment.gateways[gateway]->vm() + " answers " + id + " of " + database.name() + " with " + (reply.succeeded() ? "COMPLETE " + reply.digest : reply.isComplete ? reply.code
                                                                                                                                                                                      : "nothing"));
        if (reply.succeeded())
            database.noteAcknowledged(data);
        std::this_thread::sleep_for(reply.succeeded() ? 5ms : 20ms);
    }
}

}

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record("review/1/record.txt");
    ServiceOptions service;
    service.syncReplicas = 1;
    Deployment deployment(record, { .services = 3, .gateways = 3, .service = service });
    if (!deployment.start())
        finish(record, deployment, 2);
    for (std::size_t i = 0; i < deployment.services.size(); ++i) {
        for (int writer = 0; writer < writersPerService; ++writer)
            std::thread([&record, &deployment, i, writer] { writeForever(record, deployment, i, static_cast<std::size_t>(writer) % deployment.gateways.size(), writer); }).detach();
    }
    std::this_thread::sleep_for(firstRelease);
    for (int i = 0; i < releases; ++i) {
        if (hasTrouble())
            deployment.services[static_cast<std::size_t>(i) % deployment.services.size()]->releasePrimary(drainTime);
        std::this_thread::sleep_for(releaseGap);
    }
    std::size_t takeOvers = 0;
    std::size_t acknowledged = 0;
    for (const auto& database : deployment.services) {
        takeOvers += database->takeOvers();
        acknowledged += database->acknowledgedCount();
    }
    record.say(std::to_string(acknowledged) + " writes were acknowledged, " + std::to_string(takeOvers) + " backends were promoted");
    if (acknowledged < 100 || (hasTrouble() && takeOvers == 0))
        finish(record, deployment, 2);
    finish(record, deployment, record.violationCount() > 0 ? 1 : 0);
}
