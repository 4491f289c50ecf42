#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

struct ResultCloser {
    void operator()(PGresult* result) const noexcept { PQclear(result); }
};
using Result = std::unique_ptr<PGresult, ResultCloser>;

std::string value(const Result& result, int row = 0)
{
    return PQgetvalue(result.get(), row, 0);
}

Result runPrepared(PGconn* connection, const char* name, const char* parameter)
{
    const std::array<const char*, 1> values { parameter };
    return Result(PQexecPrepared(connection, name, 1, values.data(), nullptr, nullptr, 0));
}

void createOrders(rig::Caller& caller, int rows)
{
    CHECK(caller.run("CREATE TABLE orders (id integer primary key, coach text)").succeeded);
    for (int i = 0; i < rows; ++i)
        CHECK(caller.run("INSERT INTO orders VALUES (" + std::to_string(i) + ", 'coach " + std::to_string(i) + "')").succeeded);
}

}

TEST_GROUP(LibpqCallers) {};

TEST(LibpqCallers, PreparedStatementsOutliveTheirLinks)
{
    rig::Cluster cluster(integration::makeOptions("prepared"));
    rig::Caller caller(cluster.daemons().front().callerPort, "coach-ledger");
    createOrders(caller, 3);
    CHECK_EQUAL(PGRES_COMMAND_OK, PQresultStatus(Result(PQprepare(caller.raw(), "find", "SELECT coach FROM orders WHERE id = $1", 0, nullptr)).get()));
    for (const auto* id : { "0", "1", "2" }) {
        const auto found = runPrepared(caller.raw(), "find", id);
        CHECK_EQUAL(PGRES_TUPLES_OK, PQresultStatus(found.get()));
        CHECK(value(found) == "coach " + std::string(id));
        CHECK(caller.run("BEGIN").succeeded);
        CHECK(caller.run("UPDATE orders SET coach = coach WHERE id = " + std::string(id)).succeeded);
        CHECK(caller.run("COMMIT").succeeded);
    }
    CHECK_EQUAL(PGRES_FATAL_ERROR, PQresultStatus(runPrepared(caller.raw(), "missing", "1").get()));
    CHECK(caller.run("SELECT 1").succeeded);
}

TEST(LibpqCallers, PipelinesCommitByTheirSyncs)
{
    rig::Cluster cluster(integration::makeOptions("pipeline"));
    rig::Caller caller(cluster.daemons().front().callerPort, "coach-ledger");
    createOrders(caller, 1);
    auto* connection = caller.raw();
    CHECK_EQUAL(1, PQenterPipelineMode(connection));
    for (const auto* text : { "INSERT INTO orders VALUES (10, 'a')", "SELECT coach FROM orders WHERE id = 10" })
        CHECK_EQUAL(1, PQsendQueryParams(connection, text, 0, nullptr, nullptr, nullptr, nullptr, 0));
    CHECK_EQUAL(1, PQpipelineSync(connection));
    for (const auto* text : { "INSERT INTO orders VALUES (11, 'b')", "INSERT INTO orders VALUES (0, 'doubled')", "SELECT 1" })
        CHECK_EQUAL(1, PQsendQueryParams(connection, text, 0, nullptr, nullptr, nullptr, nullptr, 0));
    CHECK_EQUAL(1, PQpipelineSync(connection));
    std::vector<ExecStatusType> statuses;
    int syncs = 0;
    while (syncs < 2) {
        const Result result(PQgetResult(connection));
        if (!result)
            continue;
        statuses.push_back(PQresultStatus(result.get()));
        syncs += statuses.back() == PGRES_PIPELINE_SYNC ? 1 : 0;
    }
    const std::vector<ExecStatusType> expected { PGRES_COMMAND_OK, PGRES_TUPLES_OK, PGRES_PIPELINE_SYNC, PGRES_COMMAND_OK, PGRES_FATAL_ERROR, PGRES_PIPELINE_ABORTED, PGRES_PIPELINE_SYNC };
    CHECK(statuses == expected);
    CHECK_EQUAL(1, PQexitPipelineMode(connection));
    CHECK(caller.run("SELECT count(*) FROM orders WHERE id >= 10").rows.at(0).at(0) == "1");
}

TEST(LibpqCallers, ALargeResultComesWhole)
{
    rig::Cluster cluster(integration::makeOptions("large-result"));
    rig::Caller caller(cluster.daemons().front().callerPort, "coach-ledger");
    createOrders(caller, 40);
    const auto answer = caller.run("SELECT a.coach, b.coach, c.coach FROM orders a, orders b, orders c ORDER BY a.id, b.id, c.id");
    CHECK(answer.succeeded);
    CHECK_EQUAL(64000, answer.rows.size());
    CHECK(answer.rows.back().at(2) == "coach 39");
}

TEST(LibpqCallers, CopyGoesInAndOut)
{
    rig::Cluster cluster(integration::makeOptions("copy"));
    rig::Caller caller(cluster.daemons().front().callerPort, "coach-ledger");
    createOrders(caller, 0);
    auto* connection = caller.raw();
    CHECK_EQUAL(PGRES_COPY_IN, PQresultStatus(Result(PQexec(connection, "COPY orders FROM STDIN")).get()));
    for (int i = 0; i < 100; ++i) {
        const auto line = std::to_string(i) + "\tcoach " + std::to_string(i) + "\n";
        CHECK_EQUAL(1, PQputCopyData(connection, line.data(), static_cast<int>(line.size())));
    }
    CHECK_EQUAL(1, PQputCopyEnd(connection, nullptr));
    const Result ended(PQgetResult(connection));
    CHECK(std::string(PQcmdStatus(ended.get())) == "COPY 100");
    CHECK(!Result(PQgetResult(connection)));
    CHECK(caller.run("SELECT count(*) FROM orders").rows.at(0).at(0) == "100");
    CHECK_EQUAL(PGRES_COPY_OUT, PQresultStatus(Result(PQexec(connection, "COPY orders TO STDOUT")).get()));
    int lines = 0;
    char* buffer = nullptr;
    while (PQgetCopyData(connection, &buffer, 0) > 0) {
        ++lines;
        PQfreemem(buffer);
    }
    CHECK_EQUAL(100, lines);
    while (Result(PQgetResult(connection))) { }
    CHECK(caller.run("SELECT 1").succeeded);
}

TEST(LibpqCallers, ARequestKeyRunsAWriteOnceOverDaemons)
{
    auto options = integration::makeOptions("request-key");
    options.daemons = 2;
    rig::Cluster cluster(options);
    rig::Caller first(cluster.daemons()[0].callerPort, "coach-ledger");
    rig::Caller second(cluster.daemons()[1].callerPort, "coach-ledger");
    createOrders(first, 0);
    for (auto* caller : { &first, &second }) {
        CHECK(caller->run("SET amaranthhall.request_key = 'order-7'").succeeded);
        const auto answer = caller->run("INSERT INTO orders (coach) VALUES ('urgent')");
        CHECK_TEXT(answer.succeeded, answer.message.c_str());
        CHECK(answer.tag == "INSERT 0 1");
    }
    CHECK(second.run("SELECT count(*) FROM orders").rows.at(0).at(0) == "1");
    CHECK(second.run("SET amaranthhall.request_key = 'order-7'").succeeded);
    CHECK(second.run("INSERT INTO orders (coach) VALUES ('other')").sqlstate == "22023");
}

TEST(LibpqCallers, ASessionTokenRoamsBetweenDaemons)
{
    auto options = integration::makeOptions("roaming");
    options.daemons = 2;
    rig::Cluster cluster(options);
    rig::Caller first(cluster.daemons()[0].callerPort, "coach-ledger");
    createOrders(first, 1);
    const std::string token = PQparameterStatus(first.raw(), "amaranthhall.session");
    rig::Caller second(cluster.daemons()[1].callerPort, "coach-ledger", "-c amaranthhall.session=" + token);
    CHECK_TEXT(second.isConnected(), second.connectError().c_str());
    CHECK(second.run("SELECT count(*) FROM orders").rows.at(0).at(0) == "1");
    const rig::Caller forger(cluster.daemons()[1].callerPort, "coach-ledger", "-c amaranthhall.session=" + token + "0");
    CHECK(!forger.isConnected());
}

TEST(LibpqCallers, ADrainLetsAnOpenTransactionEnd)
{
    auto options = integration::makeOptions("drain");
    options.daemons = 2;
    rig::Cluster cluster(options);
    auto& daemon = cluster.daemons()[0];
    rig::Caller busy(daemon.callerPort, "coach-ledger");
    rig::Caller idle(daemon.callerPort, "coach-ledger");
    createOrders(busy, 1);
    CHECK(busy.run("BEGIN").succeeded);
    CHECK(busy.run("INSERT INTO orders VALUES (50, 'late')").succeeded);
    daemon.process->signal(SIGTERM);
    static_cast<void>(daemon.process->awaitEvent("callers.draining", 10s));
    CHECK(!idle.run("SELECT 1").succeeded);
    CHECK(!idle.isConnected());
    CHECK(busy.run("INSERT INTO orders VALUES (51, 'later')").succeeded);
    const auto committed = busy.run("COMMIT");
    CHECK_TEXT(committed.succeeded, committed.message.c_str());
    CHECK(daemon.process->wait(10s) == 0);
    rig::Caller other(cluster.daemons()[1].callerPort, "coach-ledger");
    CHECK(other.run("SELECT count(*) FROM orders WHERE id >= 50").rows.at(0).at(0) == "2");
}

TEST(LibpqCallers, AKilledDaemonLeavesNoHalfTransaction)
{
    auto options = integration::makeOptions("killed-daemon");
    options.daemons = 2;
    rig::Cluster cluster(options);
    rig::Caller caller(cluster.daemons()[0].callerPort, "coach-ledger");
    createOrders(caller, 1);
    CHECK(caller.run("BEGIN").succeeded);
    CHECK(caller.run("INSERT INTO orders VALUES (60, 'half')").succeeded);
    cluster.daemons()[0].process->kill();
    rig::Caller other(cluster.daemons()[1].callerPort, "coach-ledger");
    const auto written = other.run("INSERT INTO orders VALUES (61, 'whole')");
    CHECK_TEXT(written.succeeded, written.message.c_str());
    CHECK(other.run("SELECT count(*) FROM orders WHERE id >= 60").rows.at(0).at(0) == "1");
}
