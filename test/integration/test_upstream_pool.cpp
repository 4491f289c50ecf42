#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

/// Gives the SQLSTATE of an answer that was sent for before; empty for success.
std::string awaitAnswer(PGconn* connection)
{
    std::string sqlstate;
    while (PGresult* result = PQgetResult(connection)) {
        if (const char* state = PQresultErrorField(result, PG_DIAG_SQLSTATE))
            sqlstate = state;
        PQclear(result);
    }
    return sqlstate;
}

}

TEST_GROUP(UpstreamPool) {};

TEST(UpstreamPool, ManyCallersShareFewConnectionsThatAreSlowToOpen)
{
    constexpr int callers = 24;
    constexpr int rounds = 5;
    auto options = integration::makeOptions("upstream-pool");
    options.connectDelay = 20ms;
    options.connectionLimit = 3;
    rig::Cluster cluster(options);
    rig::Caller first(cluster.daemons().front().callerPort, "coach-ledger");
    CHECK(first.run("CREATE TABLE orders (id integer primary key, coach text)").succeeded);
    std::vector<std::unique_ptr<rig::Caller>> all;
    for (int i = 0; i < callers; ++i)
        all.push_back(std::make_unique<rig::Caller>(cluster.daemons().front().callerPort, "coach-ledger"));
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < callers; ++i)
            CHECK_EQUAL(1, PQsendQuery(all[static_cast<std::size_t>(i)]->raw(), ("INSERT INTO orders VALUES (" + std::to_string(round * callers + i) + ", 'hearse')").c_str()));
        for (const auto& caller : all)
            STRCMP_EQUAL("", awaitAnswer(caller->raw()).c_str());
    }
    rig::Caller fresh(cluster.daemons().front().callerPort, "coach-ledger");
    const auto counted = fresh.run("SELECT count(*) AS number FROM orders");
    CHECK(counted.succeeded);
    STRCMP_EQUAL(std::to_string(rounds * callers).c_str(), counted.rows.at(0).at(0).c_str());
}

TEST(UpstreamPool, WritesDuringTheLossOfAPrimaryAreDoneOnceOrSaidNotToHaveRun)
{
    constexpr int writes = 40;
    constexpr int lossAt = 5;
    rig::Cluster cluster(integration::makeOptions("primary-loss"));
    rig::Caller caller(cluster.daemons().front().callerPort, "coach-ledger");
    CHECK(caller.run("CREATE TABLE orders (id integer, coach text)").succeeded);
    std::vector<int> done;
    std::vector<int> notRun;
    for (int i = 0; i < writes; ++i) {
        if (i == lossAt)
            cluster.upstreams().front().process->kill();
        const auto answer = caller.run("INSERT INTO orders VALUES (" + std::to_string(i) + ", 'hearse')");
        if (answer.succeeded)
            done.push_back(i);
        else if (answer.sqlstate != "08007")
            notRun.push_back(i);
    }
    CHECK(done.back() == writes - 1);
    for (const auto i : done)
        STRCMP_EQUAL("1", caller.run("SELECT count(*) AS number FROM orders WHERE id = " + std::to_string(i)).rows.at(0).at(0).c_str());
    for (const auto i : notRun)
        STRCMP_EQUAL("0", caller.run("SELECT count(*) AS number FROM orders WHERE id = " + std::to_string(i)).rows.at(0).at(0).c_str());
}
