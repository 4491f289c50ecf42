#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

using namespace amaranthhall;

namespace {

constexpr auto traceId = "0af7651916cd43dd8448eb211c80319c";

std::set<std::string> readHops(const std::string& file)
{
    std::set<std::string> hops;
    std::ifstream stream(file);
    std::string line;
    while (std::getline(stream, line)) {
        const auto span = nlohmann::json::parse(line);
        if (span.at("trace") == traceId)
            hops.insert(span.at("name").get<std::string>());
    }
    return hops;
}

}

TEST_GROUP(Traces) {};

TEST(Traces, AStatementCanBeFollowedOverTwoDaemons)
{
    auto options = integration::makeOptions("traces");
    options.daemons = 2;
    options.traces = true;
    std::filesystem::remove_all(options.workFolder);
    rig::Cluster cluster(options);
    const auto comment = std::string(" /*traceparent='00-") + traceId + "-b7ad6b7169203331-01'*/";
    rig::Caller first(cluster.daemons()[0].callerPort, "coach-ledger");
    CHECK(first.run("CREATE TABLE orders (id integer primary key, coach text)").succeeded);
    CHECK(first.run("INSERT INTO orders VALUES (1, 'hearse')" + comment).succeeded);
    rig::Caller second(cluster.daemons()[1].callerPort, "coach-ledger");
    CHECK(second.run("SELECT coach FROM orders" + comment).succeeded);
    cluster.daemons()[0].process->signal(SIGTERM);
    cluster.daemons()[1].process->signal(SIGTERM);
    CHECK(cluster.daemons()[0].process->wait(std::chrono::seconds(10)).has_value());
    CHECK(cluster.daemons()[1].process->wait(std::chrono::seconds(10)).has_value());
    const auto writeHops = readHops(cluster.traceFile(cluster.daemons()[0]));
    for (const std::string hop : { "caller.statement", "dispatch.queue", "upstream.execute", "upstream.confirm" })
        CHECK(writeHops.contains(hop));
    const auto readHopsOfSecond = readHops(cluster.traceFile(cluster.daemons()[1]));
    for (const std::string hop : { "caller.statement", "dispatch.queue", "upstream.execute" })
        CHECK(readHopsOfSecond.contains(hop));
}
