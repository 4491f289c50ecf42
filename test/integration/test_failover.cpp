#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <thread>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

// Writes until one is acknowledged; gives the time that it took, or nothing after a while.
std::optional<std::chrono::milliseconds> awaitWrite(rig::Caller& caller, const std::string& text)
{
    std::string last;
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 16s) {
        const auto answer = caller.run(text);
        last = answer.sqlstate + " " + answer.message;
        if (answer.succeeded)
            return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
        std::this_thread::sleep_for(10ms);
    }
    UT_PRINT(last.c_str());

    return std::nullopt;
}

}

TEST_GROUP(Failover) {};

TEST(Failover, AReplicaTakesOverFromAKilledPrimary)
{
    rig::Cluster cluster(integration::makeOptions("failover-kill"));
    rig::Caller caller(cluster.daemons().front().callerPort, "coach-ledger");
    const auto made = caller.run("CREATE TABLE orders (id integer primary key)");
    CHECK_TEXT(made.succeeded, made.message.c_str());
    CHECK(caller.run("INSERT INTO orders VALUES (1)").succeeded);
    cluster.upstreams().front().process->kill();
    CHECK(awaitWrite(caller, "INSERT INTO orders VALUES (2)").has_value());
    CHECK(caller.run("SELECT count(*) FROM orders").rows.at(0).at(0) == "2");
}
