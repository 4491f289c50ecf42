#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

TEST_GROUP(WholePath) {};

TEST(WholePath, AReadSeesTheWriteBeforeIt)
{
    rig::Cluster cluster(integration::makeOptions("whole-path"));
    rig::Caller caller(cluster.daemons().front().callerPort, "coach-ledger");
    CHECK(caller.isConnected());
    CHECK(caller.run("CREATE TABLE orders (id integer primary key, coach text)").succeeded);
    for (int i = 0; i < 20; ++i) {
        CHECK(caller.run("INSERT INTO orders VALUES (" + std::to_string(i) + ", 'hearse')").succeeded);
        const auto answer = caller.run("SELECT count(*) AS number FROM orders WHERE id = " + std::to_string(i));
        CHECK(answer.succeeded);
        CHECK(answer.rows.at(0).at(0) == "1");
    }
}

TEST(WholePath, AnUnknownServiceIsRefused)
{
    rig::Cluster cluster(integration::makeOptions("unknown-service"));
    const rig::Caller caller(cluster.daemons().front().callerPort, "hearse-ledger");
    CHECK(!caller.isConnected());
    CHECK(caller.connectError().find("hearse-ledger") != std::string::npos);
}
