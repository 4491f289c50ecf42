#include "platform/platform_row_reader.hpp"
#include "platform/standin/fleet_rows.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

TEST_GROUP(FleetRows) {};

TEST(FleetRows, ReadersDecodeWhatTheStandInEncodes)
{
    const catalog::UpstreamEntry entry { .id = "i-1", .service = "s", .address = { .host = "10.0.0.1", .port = 5 }, .zone = "z", .role = catalog::Role::Primary, .draining = true, .slots = 2, .startedAt = 7 };
    const auto read = fleet::readUpstream("i-1", fleet::standin::encodeUpstream(entry, 3));
    CHECK_TRUE(read.has_value());
    CHECK(read->address == entry.address);
    CHECK(read->role == entry.role);
    CHECK_TRUE(read->draining);
    LONGS_EQUAL(7, read->startedAt);
    catalog::Configuration configuration { .version = 9 };
    configuration.routes["d"] = { .database = "d", .service = "s", .consistency = catalog::Consistency::BoundedStaleness, .maximumStaleness = std::chrono::milliseconds(1500), .priority = 2 };
    configuration.services["s"] = { .name = "s", .maximumConnections = 60 };
    const auto decoded = fleet::readConfiguration(fleet::standin::encodeConfiguration(configuration));
    CHECK_TRUE(decoded.has_value());
    LONGS_EQUAL(9, decoded->version);
    CHECK(decoded->findRoute("d")->consistency == catalog::Consistency::BoundedStaleness);
    LONGS_EQUAL(2, decoded->findRoute("d")->priority);
    LONGS_EQUAL(60, decoded->services.find("s")->second.maximumConnections);
}
