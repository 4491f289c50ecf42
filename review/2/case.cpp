// UNASKED: a consumer prepares a read whose shape has blanks, and backends run writes that no consumer sent, also in place of another consumer's reads.

#include "../standin/deployment.hpp"

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr std::size_t gatewayCount = 3;
constexpr auto quietTime = 3s;
constexpr int executions = 30;

/// Data that consumers have asked to write.
class AskedWrites {
public:
    void add(const std::string& item, const std::string& data)
    {
        const std::lock_guard guard(this->mutex);
        this->writes.insert(item + " " + data);
    }

    bool has(const std::string& item, const std::string& data)
    {
        const std::lock_guard guard(this->mutex);
        return this->writes.contains(item + " " + data);
    }

private:
    std::mutex mutex;
    std::set<std::string> writes;
};

std::string describe(const CallerReply& reply)
{
    if (!reply.isComplete)
        return "nothing";
    return reply.succeeded() ? "COMPLETE " + reply.digest + " and " + std::to_string(reply.rows.size()) + " rows" : reply.code;
}

/// An ordinary consumer: writes now and then.
void writeForever(Deployment& deployment, AskedWrites& asked, std::size_t gateway)
{
    std::unique_ptr<Caller> caller;
    while (true) {
        if (!caller || !caller->isUsable())
            caller = std::make_unique<Caller>(deployment.gateways[gateway]->callers(), Deployment::orders(0));
        const auto id = newId();
        const auto item = "item" + std::to_string(gateway);
        asked.add(item, "d" + id);
        caller->query(id, "WRITE " + item + " d" + id);
        std::this_thread::sleep_for(50ms);
    }
}

}

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record("review/2/record.txt");
    Deployment deployment(record, { .services = 1, .gateways = gatewayCount, .service = {} });
    if (!deployment.start())
        finish(record, deployment, 2);
    AskedWrites asked;
    for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway)
        std::thread([&deployment, &asked, gateway] { writeForever(deployment, asked, gateway); }).detach();
    std::this_thread::sleep_for(quietTime);
    int succeeded = 0;
    int wrong = 0;
    for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        const auto send = [&](Caller& caller, const std::string& who, const std::string& text) {
            const auto id = newId();
            auto reply = caller.query(id, text);
            record.write(who + " sends " + id + " " + text + ", " + deployment.gateways[gateway]->vm() + " answers " + describe(reply));
            return reply;
        };
        Caller neighbour(deployment.gateways[gateway]->callers(), Deployment::orders(0));
        Caller rude(deployment.gateways[gateway]->callers(), Deployment::lookups(0));
        const auto readAsNeighbour = [&] {
            for (int i = 0; i < executions; ++i) {
                const auto reply = send(neighbour, "neighbour", "EXECUTE s1 1a" + std::to_string(i));
                succeeded += reply.succeeded() ? 1 : 0;
                wrong += reply.succeeded() && reply.rows.size() != 1 ? 1 : 0;
            }
        };
        const std::string shape = hasTrouble() ? "rings WRITE book" : "book";
        if (!send(neighbour, "neighbour", "PREPARE s1 READ rings").succeeded() || !send(rude, "rude consumer", "PREPARE s1 READ " + shape).succeeded())
            finish(record, deployment, 2);
        readAsNeighbour();
        for (int i = 0; i < executions; ++i)
            send(rude, "rude consumer", "EXECUTE s1 1b" + std::to_string(i));
        readAsNeighbour();
    }
    if (hasTrouble()) {
        // Not judged: what becomes of a shape that is no more than a few words.
        Caller reader(deployment.gateways.front()->callers(), Deployment::lookups(0));
        const auto prepared = reader.query(newId(), "PREPARE s2 READ by ring number");
        const auto executed = reader.query(newId(), "EXECUTE s2 1a4");
        record.say("PREPARE s2 READ by ring number is answered with " + describe(prepared) + ", EXECUTE s2 with " + describe(executed));
    }
    record.say(std::to_string(succeeded) + " reads of the other consumer were answered with success");
    std::size_t unasked = 0;
    for (const auto& commit : deployment.services.front()->commits()) {
        for (const auto& [item, data] : commit->writes) {
            if (asked.has(item, data))
                continue;
            ++unasked;
            record.write("nobody has asked to write \"" + data + "\" into the item \"" + item + "\", committed at " + commit->point.text());
        }
    }
    if (unasked > 0)
        record.violation("UNASKED " + std::to_string(unasked) + " writes were committed that no consumer sent");
    if (wrong > 0)
        record.violation("MIXED " + std::to_string(wrong) + " reads of the other consumer were answered with success and without their row");
    finish(record, deployment, record.violationCount() > 0 ? 1 : succeeded == 0 ? 2
                                                                                : 0);
}
