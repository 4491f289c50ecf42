#include "amaranthhall/rig/caller.hpp"
#include "amaranthhall/rig/process.hpp"
#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <thread>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

struct Upstream {
    std::unique_ptr<rig::Process> process;
    std::uint16_t port { 0 };

    rig::Caller connect(std::string_view options = "") const { return { this->port, "coach-ledger", options }; }
};

Upstream startUpstream(const std::string& name, std::vector<std::string> arguments)
{
    const auto options = integration::makeOptions("standin-" + name);
    std::filesystem::create_directories(options.workFolder);
    arguments.insert(arguments.begin(), "upstream");
    Upstream upstream { .process = std::make_unique<rig::Process>(options.binaries + "/amaranthhall-standin", arguments, options.workFolder + "/upstream.log") };
    upstream.port = upstream.process->awaitEvent("standin.listening", 20s).at("port").get<std::uint16_t>();
    return upstream;
}

std::string firstValue(rig::Caller& caller, const std::string& text)
{
    const auto answer = caller.run(text);
    return answer.succeeded && !answer.rows.empty() ? answer.rows[0].at(0) : answer.sqlstate;
}

}

TEST_GROUP(StandinUpstream) {};

TEST(StandinUpstream, KeepsItsConnectionLimit)
{
    const auto upstream = startUpstream("limit", { "--primary", "--connection-limit", "2" });
    const auto one = upstream.connect();
    const auto two = upstream.connect();
    const auto three = upstream.connect();
    CHECK(two.isConnected());
    CHECK(!three.isConnected());
    CHECK(three.connectError().find("too many clients") != std::string::npos);
}

TEST(StandinUpstream, ATransactionIsSeenWholeOrNotAtAll)
{
    const auto upstream = startUpstream("transaction", { "--primary" });
    auto writer = upstream.connect();
    auto reader = upstream.connect();
    CHECK(writer.run("CREATE TABLE orders (id integer primary key)").succeeded);
    CHECK(writer.run("BEGIN; INSERT INTO orders VALUES (1); SAVEPOINT s; INSERT INTO orders VALUES (2); ROLLBACK TO s; INSERT INTO orders VALUES (3); COMMIT").succeeded);
    CHECK(firstValue(reader, "SELECT sum(id) FROM orders") == "4");
    CHECK(writer.run("INSERT INTO orders VALUES (5); INSERT INTO orders VALUES (1)").sqlstate == "23505");
    CHECK(firstValue(reader, "SELECT sum(id) FROM orders") == "4");
    CHECK(firstValue(reader, "SELECT position FROM ah_status()") == "2");
}

TEST(StandinUpstream, AWriterWaitsForTheOneBeforeIt)
{
    const auto upstream = startUpstream("busy", { "--primary" });
    auto one = upstream.connect();
    auto two = upstream.connect();
    CHECK(one.run("CREATE TABLE orders (id integer primary key)").succeeded);
    CHECK(one.run("BEGIN").succeeded);
    CHECK(one.run("INSERT INTO orders VALUES (1)").succeeded);
    CHECK(two.run("INSERT INTO orders VALUES (2)").sqlstate == "40001");
    CHECK(one.run("COMMIT").succeeded);
    CHECK(two.run("INSERT INTO orders VALUES (2)").succeeded);
}

TEST(StandinUpstream, CancelsByItsKeysOnly)
{
    const auto upstream = startUpstream("cancel", { "--primary" });
    auto caller = upstream.connect();
    std::thread canceller([&] {
        std::this_thread::sleep_for(100ms);
        const std::unique_ptr<PGcancel, void (*)(PGcancel*)> cancel(PQgetCancel(caller.raw()), PQfreeCancel);
        std::array<char, 256> problem {};
        PQcancel(cancel.get(), problem.data(), static_cast<int>(problem.size()));
    });
    CHECK(caller.run("SELECT pg_sleep(10)").sqlstate == "57014");
    canceller.join();
    CHECK(firstValue(caller, "SELECT 1") == "1");
}

TEST(StandinUpstream, AReplicaRefusesWritesAndAFencedPrimaryToo)
{
    const auto upstream = startUpstream("fence", { "--primary" });
    auto caller = upstream.connect();
    CHECK(caller.run("CREATE TABLE orders (id integer)").succeeded);
    CHECK(caller.run("BEGIN").succeeded);
    CHECK(caller.run("INSERT INTO orders VALUES (1)").succeeded);
    auto control = upstream.connect();
    CHECK(firstValue(control, "SELECT accepted FROM ah_fence(2)") == "1");
    CHECK(firstValue(control, "SELECT accepted FROM ah_fence(2)") == "0");
    CHECK(caller.run("COMMIT").tag == "ROLLBACK");
    CHECK(caller.run("INSERT INTO orders VALUES (2)").sqlstate == "25006");
    CHECK(firstValue(control, "SELECT count(*) FROM orders") == "0");
}

TEST(StandinUpstream, AReplicaHoldsMoreThanItShows)
{
    const auto primary = startUpstream("lag-primary", { "--primary", "--name", "a" });
    const auto replica = startUpstream("lag-replica", { "--name", "b" });
    auto writer = primary.connect();
    auto reader = replica.connect();
    CHECK(reader.run("SELECT ok FROM standin_lag(0, 300)").succeeded);
    CHECK(writer.run("SELECT ok FROM standin_peers(127.0.0.1:" + std::to_string(replica.port) + ")").succeeded);
    CHECK(writer.run("CREATE TABLE orders (id integer)").succeeded);
    CHECK(firstValue(reader, "SELECT reached FROM ah_confirm(1, 1, 5000)") == "1");
    CHECK(firstValue(reader, "SELECT applied FROM ah_status()") == "0");
    CHECK(firstValue(reader, "SELECT reached FROM ah_wait_applied(1, 1, 5000)") == "1");
    CHECK(firstValue(reader, "SELECT count(*) FROM orders") == "0");
    CHECK(reader.run("INSERT INTO orders VALUES (1)").sqlstate == "25006");
}

TEST(StandinUpstream, CopiesAndAnswersInBinary)
{
    const auto upstream = startUpstream("copy", { "--primary" });
    auto caller = upstream.connect();
    CHECK(caller.run("CREATE TABLE fittings (id bigint, name text)").succeeded);
    PQclear(PQexec(caller.raw(), "COPY fittings FROM STDIN"));
    const std::string rows = "1\tbrass\\trail\n2\t\\N\n";
    CHECK_EQUAL(1, PQputCopyData(caller.raw(), rows.data(), static_cast<int>(rows.size())));
    CHECK_EQUAL(1, PQputCopyEnd(caller.raw(), nullptr));
    const std::unique_ptr<PGresult, void (*)(PGresult*)> copied(PQgetResult(caller.raw()), PQclear);
    STRCMP_EQUAL("COPY 2", PQcmdStatus(copied.get()));
    while (auto* left = PQgetResult(caller.raw()))
        PQclear(left);
    const char* parameter = "1";
    const std::unique_ptr<PGresult, void (*)(PGresult*)> answer(PQexecParams(caller.raw(), "SELECT id, name FROM fittings WHERE id = $1", 1, nullptr, &parameter, nullptr, nullptr, 1), PQclear);
    CHECK_EQUAL(1, PQntuples(answer.get()));
    CHECK_EQUAL(8, PQgetlength(answer.get(), 0, 0));
    STRCMP_EQUAL("brass\trail", PQgetvalue(answer.get(), 0, 1));
}

TEST(StandinUpstream, ReleasesTheConnectionsOfAVm)
{
    const auto upstream = startUpstream("release", { "--primary" });
    const std::string common = "host=127.0.0.1 sslmode=disable gssencmode=disable dbname=x user=x port=" + std::to_string(upstream.port);
    const std::unique_ptr<PGconn, void (*)(PGconn*)> held(PQconnectdb((common + " application_name=amaranthhall/vm-7").c_str()), PQfinish);
    // libpq hands on what a server says unasked as a notice.
    std::string said;
    const auto listen = [](void* heard, const PGresult* notice) { *static_cast<std::string*>(heard) = PQresultErrorField(notice, PG_DIAG_SQLSTATE); };
    PQsetNoticeReceiver(held.get(), listen, &said);
    auto control = upstream.connect();
    CHECK(firstValue(control, "SELECT open FROM standin_connections()") == "1");
    CHECK(firstValue(control, "SELECT released FROM ah_release('vm-7')") == "1");
    PQconsumeInput(held.get());
    CHECK_EQUAL(0, PQisBusy(held.get()));
    const std::unique_ptr<PGresult, void (*)(PGresult*)> ended(PQexec(held.get(), "SELECT 1"), PQclear);
    CHECK(PQstatus(held.get()) == CONNECTION_BAD);
    CHECK(said == "57P01");
    CHECK(firstValue(control, "SELECT open FROM standin_connections()") == "0");
    CHECK(firstValue(control, "SELECT most FROM standin_connections()") == "1");
}
