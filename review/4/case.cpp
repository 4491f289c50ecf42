// A process ends: consumers flood a gateway with questions, and the gateway keeps all of them in memory.

#include "../standin/deployment.hpp"

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr std::size_t gatewayCount = 3;
constexpr int callersPerGateway = 4;
constexpr double memoryLimit = 512; // MB, memory_mb of the larger machines of the site
constexpr auto quietTime = 3s;
constexpr auto floodTime = 84500ms; // 13 times the 6.5 s of the site's own entry, one after the other
constexpr double floodRate = 6; // MB a second of each rude consumer
constexpr int rudeConsumers = 4; // at each gateway; together they use 192 of the 200 Mbit/s of a machine's link
constexpr int endsThatCount = 3; // of one machine, on two machines

struct Shared {
    Record& record;
    Deployment& deployment;
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> cut { 0 };
};

/// An ordinary consumer: one request after the other, each sent once the last one was answered.
void callForever(Shared& shared, std::size_t number)
{
    auto& deployment = shared.deployment;
    const auto index = number % deployment.services.size();
    const auto gateway = number % gatewayCount;
    std::unique_ptr<Caller> caller;
    while (true) {
        if (!caller || !caller->isUsable()) {
            caller.reset();
            caller = std::make_unique<Caller>(deployment.gateways[gateway]->callers(), Deployment::updates(index));
            std::this_thread::sleep_for(100ms);
            continue;
        }
        const auto id = newId();
        const auto reply = caller->query(id, "READ item" + std::to_string(number));
        shared.record.write(deployment.gateways[gateway]->vm() + " answers " + id + " with " + (reply.succeeded() ? "COMPLETE " + reply.digest : reply.isComplete ? reply.code
                                                                                                                                                                  : "nothing"));
        ++(reply.isComplete ? shared.answered : shared.cut);
        std::this_thread::sleep_for(20ms);
    }
}

/// A session of a rude consumer: sends questions without waiting for their answers, and doesn't read these either.
void floodSession(Record& record, const Gateway& gateway, Time end)
{
    const auto socket = connectTo(gateway.callers());
    if (!socket || !sendAll(socket, "STARTUP lookups1 u1\r\n"))
        return;
    const auto startedAt = Clock::now();
    const timeval timeout { .tv_sec = 0, .tv_usec = 200'000 };
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    std::uint64_t sent = 0;
    std::uint64_t questions = 0;
    std::string pending;
    while (Clock::now() < end) {
        const auto allowed = std::chrono::duration<double>(Clock::now() - startedAt).count() * floodRate * 1e6;
        if (static_cast<double>(sent) > allowed) {
            std::this_thread::sleep_for(1ms);
            continue;
        }
        while (pending.size() < 60'000) {
            pending += "QUERY " + newId() + " READ item1\r\n";
            ++questions;
        }
        // A gateway that doesn't read blocks the sender; it waits.
        const auto count = send(socket.descriptor(), pending.data(), pending.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            break;
        if (count > 0) {
            pending.erase(0, static_cast<std::size_t>(count));
            sent += static_cast<std::uint64_t>(count);
        }
    }
    record.write("a rude consumer has sent " + std::to_string(questions) + " questions, " + std::to_string(sent / 1'000'000) + " MB, to " + gateway.vm());
}

/// A rude consumer connects again when its session has ended.
void flood(Record& record, const Gateway& gateway, Time end)
{
    while (Clock::now() < end) {
        floodSession(record, gateway, end);
        std::this_thread::sleep_for(200ms);
    }
}

/// Returns the resident memory of a process in MB.
double residentMemory(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Does what the platform does: kills a process over its memory limit, and starts one again that has ended.
void watchGateways(Shared& shared, std::map<std::string, int>& ends)
{
    for (const auto& gateway : shared.deployment.gateways) {
        const auto memory = gateway->pid() > 0 ? residentMemory(gateway->pid()) : 0;
        const bool isOverLimit = memory > memoryLimit;
        const auto status = isOverLimit ? std::nullopt : gateway->ended();
        if (!isOverLimit && !status)
            continue;
        gateway->kill();
        ++ends[gateway->vm()];
        shared.record.say(gateway->vm() + (isOverLimit ? " holds " + std::to_string(static_cast<int>(memory)) + " MB, over its limit of " + std::to_string(static_cast<int>(memoryLimit)) + " MB, and is killed for it" : " has ended by itself, status " + std::to_string(*status)));
        std::this_thread::sleep_for(300ms);
        gateway->start();
    }
}

}

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record("review/4/record.txt");
    Deployment deployment(record, { .services = 3, .gateways = gatewayCount, .service = {} });
    if (!deployment.start())
        finish(record, deployment, 2);
    Shared shared { .record = record, .deployment = deployment };
    for (std::size_t number = 0; number < gatewayCount * callersPerGateway; ++number)
        std::thread([&shared, number] { callForever(shared, number); }).detach();
    std::map<std::string, int> ends;
    const auto wait = [&](Milliseconds span) {
        const auto end = Clock::now() + span;
        while (Clock::now() < end) {
            watchGateways(shared, ends);
            std::this_thread::sleep_for(10ms);
        }
    };
    wait(quietTime);
    for (const auto& gateway : deployment.gateways) {
        for (int consumer = 0; hasTrouble() && consumer < rudeConsumers; ++consumer)
            std::thread([&record, &gateway] { flood(record, *gateway, Clock::now() + floodTime); }).detach();
    }
    wait(floodTime + 2000ms);
    record.say(std::to_string(shared.answered) + " requests of other consumers were answered, " + std::to_string(shared.cut) + " were cut");
    int machines = 0;
    for (const auto& [vm, count] : ends)
        machines += count >= endsThatCount ? 1 : 0;
    if (machines >= 2)
        record.violation("FAULT on " + std::to_string(machines) + " of " + std::to_string(gatewayCount) + " machines the process has ended three times or more, over its limit of memory");
    finish(record, deployment, shared.answered < 300 ? 2 : record.violationCount() > 0 ? 1
                                                                                       : 0);
}
