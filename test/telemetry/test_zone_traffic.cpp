#include "amaranthhall/telemetry/zone_traffic.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace amaranthhall;
using namespace std::chrono_literals;
using telemetry::TrafficKind;

TEST_GROUP(ZoneTraffic)
{
    telemetry::ZoneTraffic traffic;
    telemetry::Metrics metrics;

    bool shows(const std::string& line)
    {
        this->traffic.publish(this->metrics, "a");
        return this->metrics.serialize().find(line + "\n") != std::string::npos;
    }
};

// A sum over scrapes is wrong if a scrape adds what an earlier one has added.
TEST(ZoneTraffic, EachByteIsPublishedOnce)
{
    auto& bytes = this->traffic.bytes(TrafficKind::Upstream, "b");
    bytes.sent += 10;
    bytes.received += 7;
    CHECK(this->shows(R"(amaranthhall_zone_bytes_total{direction="sent",from="a",kind="upstream",to="b"} 10)"));
    bytes.sent += 1;
    CHECK(this->shows(R"(amaranthhall_zone_bytes_total{direction="sent",from="a",kind="upstream",to="b"} 11)"));
    CHECK(this->shows(R"(amaranthhall_zone_bytes_total{direction="received",from="b",kind="upstream",to="a"} 7)"));
}

TEST(ZoneTraffic, BytesOfADaemonCountForItsZone)
{
    this->traffic.noteHost("10.0.0.1", "b");
    this->traffic.bytesOfHost(TrafficKind::Gossip, "10.0.0.1").sent += 5;
    this->traffic.bytesOfHost(TrafficKind::Gossip, "10.0.0.2").sent += 3;
    CHECK(this->shows(R"(amaranthhall_zone_bytes_total{direction="sent",from="a",kind="gossip",to="b"} 5)"));
    CHECK(this->shows(R"(amaranthhall_zone_bytes_total{direction="sent",from="a",kind="gossip",to="unknown"} 3)"));
}

// Zones come from rows and datagrams of other programs; without a bound, each new name would add ten metrics.
TEST(ZoneTraffic, ZonesBeyondTheLimitCountAsUnknown)
{
    for (std::size_t zone = 0; zone < telemetry::ZoneTraffic::maximumZones + 2; ++zone)
        this->traffic.bytes(TrafficKind::Gossip, "z" + std::to_string(zone)).sent += 1;
    CHECK(this->shows(R"(amaranthhall_zone_bytes_total{direction="sent",from="a",kind="gossip",to="unknown"} 2)"));
}

TEST(ZoneTraffic, RoundTripTimesAreAveraged)
{
    CHECK_FALSE(this->traffic.roundTrip("b").has_value());
    this->traffic.noteRoundTrip("b", 2ms);
    this->traffic.noteRoundTrip("b", 10ms);
    CHECK(*this->traffic.roundTrip("b") == 3ms);
}
