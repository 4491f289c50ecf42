// LOST: gateways are stopped and started in turn while callers keep using their open sessions, one request after the other.

#include "../standin/deployment.hpp"

#include <array>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr std::size_t gatewayCount = 3;
constexpr int callersPerGateway = 4;
constexpr auto quietTime = 4s;
constexpr auto graceTime = 6s;
constexpr auto earlyTime = 3s; // requests sent up to this long after SIGTERM may be excused
constexpr int rounds = 1;

/// When a gateway was last sent SIGTERM.
struct Term {
    std::mutex mutex;
    std::optional<Time> at;

    std::optional<Time> get()
    {
        const std::lock_guard guard(this->mutex);
        return this->at;
    }

    void set(std::optional<Time> fresh)
    {
        const std::lock_guard guard(this->mutex);
        this->at = fresh;
    }
};

struct Shared {
    Record& record;
    Deployment& deployment;
    std::array<Term, gatewayCount> terms;
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> cutEarly { 0 }; ///< Cut, but sent early enough that the rule may excuse it.
    std::atomic<std::uint64_t> duringDrain { 0 }; ///< Answered more than three seconds after SIGTERM.
};

/// Judges a request whose connection ended without a complete answer.
void judge(Shared& shared, std::size_t gateway, Service& service, const std::string& id, Time sentAt, Milliseconds timeout)
{
    const auto now = Clock::now();
    const auto term = shared.terms[gateway].get();
    // It may be on its way to the backend still.
    std::this_thread::sleep_for(50ms);
    const bool hasArrived = service.hasArrived(id);
    const bool isAround = term && now - *term <= graceTime + 1s;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - sentAt);
    const auto vm = shared.deployment.gateways[gateway]->vm();
    shared.record.write(vm + " ends the connection of " + id + " without an answer after " + std::to_string(age.count()) + " ms, " + (hasArrived ? "it has reached a backend" : "it has reached no backend"));
    if (!isAround || age >= timeout || !(hasArrived || age > 200ms))
        return;
    if (sentAt - *term <= earlyTime) {
        ++shared.cutEarly;
        return;
    }
    shared.record.violation("LOST " + id + " was sent to " + vm + " " + std::to_string(std::chrono::duration_cast<Milliseconds>(sentAt - *term).count()) + " ms after its SIGTERM and cut " + std::to_string(age.count()) + " ms later without an answer; it has " + (hasArrived ? "reached a backend" : "reached no backend"));
}

/// Uses a session for one request after the other; after its close, the caller goes to the next gateway that is ready.
void callForever(Shared& shared, std::size_t number)
{
    std::mt19937 random(static_cast<unsigned>(number));
    auto& deployment = shared.deployment;
    const auto index = number % deployment.services.size();
    auto& service = *deployment.services[index];
    auto gateway = number % gatewayCount;
    std::unique_ptr<Caller> caller;
    while (true) {
        if (!caller || !caller->isUsable()) {
            if (caller)
                gateway = (gateway + 1) % gatewayCount;
            caller.reset();
            if (deployment.gateways[gateway]->isReady())
                caller = std::make_unique<Caller>(deployment.gateways[gateway]->callers(), Deployment::updates(index));
            else
                gateway = (gateway + 1) % gatewayCount;
            std::this_thread::sleep_for(20ms);
            continue;
        }
        const auto id = newId();
        const bool writes = random() % 8 == 0;
        const auto text = writes ? "WRITE item" + std::to_string(number) + " d" + id : "READ item" + std::to_string(number);
        shared.record.write("caller " + std::to_string(number) + " sends " + id + " to " + deployment.gateways[gateway]->vm() + ": " + text);
        const auto sentAt = Clock::now();
        const auto reply = caller->query(id, text);
        const auto term = shared.terms[gateway].get();
        if (reply.isComplete) {
            ++shared.answered;
            if (term && sentAt - *term > earlyTime)
                ++shared.duringDrain;
            shared.record.write(deployment.gateways[gateway]->vm() + " answers " + id + " with " + (reply.succeeded() ? "COMPLETE " + reply.digest : reply.code));
        } else
            judge(shared, gateway, service, id, sentAt, 800ms);
        std::this_thread::sleep_for(Milliseconds(random() % 20));
    }
}

}

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record("review/4/record.txt");
    ServiceOptions service;
    service.work = { .mean = 9, .spread = 0.7, .maximum = 22 };
    Deployment deployment(record, { .services = 3, .gateways = gatewayCount, .service = service });
    if (!deployment.start())
        finish(record, deployment, 2);
    Shared shared { .record = record, .deployment = deployment, .terms = {} };
    for (std::size_t number = 0; number < gatewayCount * callersPerGateway; ++number)
        std::thread([&shared, number] { callForever(shared, number); }).detach();
    std::this_thread::sleep_for(quietTime);
    for (std::size_t step = 0; step < rounds * gatewayCount; ++step) {
        const auto index = step % gatewayCount;
        auto& gateway = *deployment.gateways[index];
        if (!hasTrouble()) {
            std::this_thread::sleep_for(graceTime + quietTime);
            continue;
        }
        record.say("SIGTERM to " + gateway.vm());
        const auto termAt = Clock::now();
        shared.terms[index].set(termAt);
        gateway.signal(SIGTERM);
        std::optional<int> status;
        while (!status && Clock::now() - termAt < graceTime) {
            status = gateway.ended();
            std::this_thread::sleep_for(5ms);
        }
        record.say(gateway.vm() + (status ? " has ended with status " + std::to_string(*status) + "," : " is killed") + " " + std::to_string(std::chrono::duration_cast<Milliseconds>(Clock::now() - termAt).count()) + " ms after its SIGTERM");
        gateway.kill();
        std::this_thread::sleep_for(1s);
        gateway.start();
        if (!waitUntilReady(deployment.gateways, 10000ms))
            finish(record, deployment, 2);
        std::this_thread::sleep_for(quietTime);
        shared.terms[index].set(std::nullopt);
    }
    record.say(std::to_string(shared.answered) + " requests were answered, " + std::to_string(shared.duringDrain) + " of them sent more than 3 s after a SIGTERM to a gateway that was draining; " + std::to_string(shared.cutEarly) + " were cut that had been sent earlier");
    finish(record, deployment, shared.answered < 1000 ? 2 : record.violationCount() > 0 ? 1
                                                                                        : 0);
}
