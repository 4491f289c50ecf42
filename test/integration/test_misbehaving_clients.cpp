#include "client_crowd.hpp"
#include "served_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <memory>
#include <string>
#include <vector>

using namespace amaranthhall;
using namespace amaranthhall::integration;
using namespace std::chrono_literals;

namespace {

using Port = ServedFleet::Port;

constexpr std::uint64_t memoryOfVm = 32U << 20U; // bytes; the VM for which the crowds are sized
constexpr std::size_t descriptorsForOthers = 8; // remain free for what a daemon opens itself
constexpr std::size_t largestMessage = 1U << 20U; // bytes; the protocol's limit
constexpr std::size_t crowdSize = 64; // with a message of the largest size each, twice the memory of the VM
constexpr std::size_t smallPiece = 16U << 10U;
constexpr std::string_view startup = "STARTUP db -\r\n";

std::string filler(std::size_t length) { return std::string(length, 'x'); }

/// A read of the largest legal size, complete or without its end.
std::string largeRead(bool isComplete)
{
    std::string line = "QUERY large READ ";
    line += filler(largestMessage - line.size());
    return isComplete ? line + "\r\n" : line;
}

/// Statements that each name something else, of 64 kB each.
std::string statementsWithoutEnd(std::string_view prefix, std::string_view middle, std::size_t count)
{
    constexpr std::size_t size = 64U << 10U;
    std::string all;
    for (std::size_t i = 0; i < count; ++i)
        all.append("QUERY n ").append(prefix).append(std::to_string(i)).append(middle).append(filler(size)).append("\r\n");
    return all;
}

/// Reads of the large item that are sent ahead, without waiting for their replies.
std::string readsAhead()
{
    constexpr std::size_t count = 60;
    std::string all;
    for (std::size_t i = 0; i < count; ++i)
        all += "QUERY ahead READ big\r\n";
    return all;
}

/// Stores the item of 200 kB that readsAhead() reads.
void writeLargeItem(ServedFleet& fleet)
{
    constexpr std::size_t size = 200'000;
    OrdinarySession session(fleet.events(), fleet.address(0, Port::Callers));
    CHECK(session.run("WRITE big " + filler(size), 10s));
}

/// A relay frame of 4 MB, the largest, without its end.
std::string halfRelayFrame()
{
    constexpr std::size_t size = 4U << 20U;
    const auto length = htonl(size);
    std::string frame(reinterpret_cast<const char*>(&length), sizeof(length));
    return frame + filler(size - 1);
}

/// Request headers of an HTTP request that never ends.
std::string headersWithoutEnd()
{
    constexpr std::size_t size = 1U << 20U;
    std::string headers = "GET / HTTP/1.1\r\n";
    for (std::size_t i = 0; headers.size() < size; ++i)
        headers.append("Header").append(std::to_string(i)).append(": value\r\n");
    return headers;
}

/// A crowd of clients of the caller port of one daemon, or of another port.
struct Crowds {
    explicit Crowds(ServedFleet& usedFleet)
        : fleet(usedFleet)
    {
    }

    void add(ClientScript script, std::size_t count, Port port = Port::Callers)
    {
        script.to = this->fleet.address(this->fleet.relaying(), port);
        this->all.push_back(std::make_unique<ClientCrowd>(this->fleet.events(), std::move(script), count));
    }

    void settle()
    {
        std::vector<const ClientCrowd*> crowds;
        for (const auto& crowd : this->all)
            crowds.push_back(crowd.get());
        this->fleet.settle(crowds);
    }

    ServedFleet& fleet;
    std::vector<std::unique_ptr<ClientCrowd>> all;
};

/// Checks that no process has ended or left the bounds of its VM, and that an ordinary request is answered while the crowds are still connected.
void checkServed(ServedFleet& fleet, Crowds& crowds, std::size_t descriptors)
{
    crowds.settle();
    const bool isServed = fleet.answersOrdinaryRequest(fleet.relaying());
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.isRunning(i));
        const auto peak = fleet.peakMemory(i);
        const auto open = fleet.openDescriptors(i);
        UT_PRINT(StringFromFormat("daemon %d: peak %d kB, %d descriptors", static_cast<int>(i), static_cast<int>(peak >> 10U), static_cast<int>(open)).asCharString());
        CHECK_COMPARE(peak, <=, memoryOfVm);
        CHECK_COMPARE(open, <=, descriptors - descriptorsForOthers);
    }
    CHECK(isServed);
}

/// Plays one crowd against the caller port.
void playCrowd(const ServedFleet::Options& options, const ClientScript& script, std::size_t count)
{
    ServedFleet fleet(options);
    Crowds crowds(fleet);
    crowds.add(script, count);
    checkServed(fleet, crowds, options.descriptors);
}

/// Plays a crowd that reads the large item many times and takes few of the replies, or none.
void playReadsAhead(const ServedFleet::Options& options, std::size_t readsPerTick)
{
    ServedFleet fleet(options);
    writeLargeItem(fleet);
    Crowds crowds(fleet);
    crowds.add({ .bytes = std::string(startup) + readsAhead(), .reads = false, .readsPerTick = readsPerTick }, crowdSize);
    checkServed(fleet, crowds, options.descriptors);
}

constexpr std::size_t fewSessions = 8;
constexpr std::size_t manyNames = 100; // 6.4 MB a session

std::string settingsWithoutEnd() { return std::string(startup) + statementsWithoutEnd("SET s", " ", manyNames); }
std::string namesWithoutEnd() { return std::string(startup) + statementsWithoutEnd("PREPARE p", " READ ", manyNames); }

/// Statements that are prepared and executed, so that links keep them too.
std::string executedNamesWithoutEnd(std::string_view client)
{
    constexpr std::size_t shapeSize = 64U << 10U;
    std::string all(startup);
    for (std::size_t i = 0; i < manyNames; ++i) {
        const auto name = std::string(client) + std::to_string(i);
        all.append("QUERY n PREPARE ").append(name).append(" READ ").append(name).append(filler(shapeSize)).append("\r\nQUERY n EXECUTE ").append(name).append(" item\r\n");
        all.append("QUERY n DEALLOC ").append(name).append("\r\n");
    }
    return all;
}

void playExecutedNames(const ServedFleet::Options& options)
{
    ServedFleet fleet(options);
    Crowds crowds(fleet);
    for (std::size_t i = 0; i < fewSessions; ++i)
        crowds.add({ .bytes = executedNamesWithoutEnd("c" + std::to_string(i) + "n") }, 1);
    checkServed(fleet, crowds, options.descriptors);
}

}

TEST_GROUP(MisbehavingClients) {};

// Guards against memory for messages without their end before the startup.
TEST(MisbehavingClients, LargeStartupsWithoutEndAtOnce)
{
    playCrowd({ .name = "startups" }, { .bytes = "STARTUP " + filler(largestMessage - 8) }, crowdSize);
}

TEST(MisbehavingClients, LargeStartupsThatReturnAsSoonAsTheyAreClosed)
{
    constexpr std::size_t returns = 200;
    playCrowd({ .name = "returning" }, { .bytes = "STARTUP " + filler(largestMessage - 8), .returns = returns }, crowdSize);
}

TEST(MisbehavingClients, LargeStartupsBySlowSenders)
{
    playCrowd({ .name = "slow-startups" }, { .bytes = "STARTUP " + filler(largestMessage / 2), .piece = smallPiece, .endless = "x" }, crowdSize * 2);
}

// Guards against memory for statements that wait, each legal by itself.
TEST(MisbehavingClients, LargeMessagesAtOnceInOnePiece)
{
    playCrowd({ .name = "large", .work = 50ms }, { .bytes = std::string(startup) + largeRead(true) }, crowdSize);
}

TEST(MisbehavingClients, LargeMessagesAtOnceInSmallPieces)
{
    playCrowd({ .name = "pieces", .work = 50ms }, { .bytes = std::string(startup) + largeRead(true), .piece = smallPiece }, crowdSize);
}

TEST(MisbehavingClients, LargeMessagesThroughARelay)
{
    playCrowd({ .name = "large-relay", .daemons = 3, .work = 50ms }, { .bytes = std::string(startup) + largeRead(true) }, crowdSize);
}

// Guards against memory for what the limit of a message refuses anyway. In small pieces, all clients reach the limit at about the same time.
TEST(MisbehavingClients, MessagesFarOverTheLimit)
{
    constexpr std::size_t size = 4U << 20U;
    playCrowd({ .name = "over" }, { .bytes = std::string(startup) + "QUERY over READ " + filler(size), .piece = smallPiece }, crowdSize);
}

// Guards against memory for incomplete messages after the startup, which no timeout ended.
TEST(MisbehavingClients, MessagesThatStopHalfWay)
{
    playCrowd({ .name = "half" }, { .bytes = std::string(startup) + largeRead(false) }, crowdSize);
}

TEST(MisbehavingClients, MessagesBySlowSenders)
{
    playCrowd({ .name = "slow-messages" }, { .bytes = std::string(startup) + "QUERY slow READ " + filler(largestMessage / 2), .piece = smallPiece, .endless = "x" }, crowdSize * 2);
}

TEST(MisbehavingClients, MessagesThatStopHalfWayThroughARelay)
{
    playCrowd({ .name = "half-relay", .daemons = 3 }, { .bytes = std::string(startup) + largeRead(false) }, crowdSize);
}

// Guards against memory for the replies of many callers, each within its own bound.
TEST(MisbehavingClients, ManyMessagesAheadWithoutReading)
{
    playReadsAhead({ .name = "ahead" }, 0);
}

TEST(MisbehavingClients, ManyMessagesAheadBySlowReaders)
{
    playReadsAhead({ .name = "slow-readers" }, 64);
}

TEST(MisbehavingClients, ManyMessagesAheadWithoutReadingThroughARelay)
{
    playReadsAhead({ .name = "ahead-relay", .daemons = 3 }, 0);
}

// Guards against session state without a bound.
TEST(MisbehavingClients, SessionSettingsWithoutEnd)
{
    playCrowd({ .name = "settings" }, { .bytes = settingsWithoutEnd() }, fewSessions);
}

// Each read carries the session's settings to the other daemon.
TEST(MisbehavingClients, SessionSettingsWithoutEndThroughARelay)
{
    playCrowd({ .name = "settings-relay", .daemons = 3 }, { .bytes = settingsWithoutEnd() + "QUERY r READ item\r\n" }, fewSessions);
}

TEST(MisbehavingClients, PreparedNamesWithoutEnd)
{
    playCrowd({ .name = "names" }, { .bytes = namesWithoutEnd() }, fewSessions);
}

// Guards against the names that a link keeps after the session has dropped them.
TEST(MisbehavingClients, ExecutedNamesWithoutEnd)
{
    playExecutedNames({ .name = "executed" });
}

TEST(MisbehavingClients, ExecutedNamesWithoutEndThroughARelay)
{
    playExecutedNames({ .name = "executed-relay", .daemons = 3 });
}

// Guards against a daemon that has no descriptor left for its upstreams and answers nothing.
TEST(MisbehavingClients, MoreConnectionsThanDescriptors)
{
    constexpr std::size_t descriptors = 96;
    ServedFleet fleet({ .name = "descriptors", .descriptors = descriptors });
    OrdinarySession before(fleet.events(), fleet.address(0, Port::Callers));
    CHECK(before.run("READ item", 10s));
    Crowds crowds(fleet);
    crowds.add({ .bytes = std::string(startup) }, descriptors * 2);
    crowds.settle();
    const auto open = fleet.openDescriptors(0);
    fleet.restartUpstreams();
    bool isAnswered = false;
    for (int attempt = 0; attempt < 10 && !isAnswered; ++attempt)
        isAnswered = before.run("READ item", 6s);
    const bool isReady = fleet.answersHttp(0, Port::Ready, "/v1/ready");
    UT_PRINT(StringFromFormat("%d descriptors; answered: %d; ready: %d", static_cast<int>(open), isAnswered ? 1 : 0, isReady ? 1 : 0).asCharString());
    CHECK(fleet.isRunning(0));
    CHECK_COMPARE(open, <=, descriptors - descriptorsForOthers);
    CHECK(isAnswered);
    CHECK(isReady);
}

// Guards against memory for the ports that other daemons and the platform use.
TEST(MisbehavingClients, RelayFramesThatStopHalfWay)
{
    constexpr std::size_t connections = 16;
    ServedFleet fleet({ .name = "frames" });
    Crowds crowds(fleet);
    crowds.add({ .bytes = halfRelayFrame() }, connections, Port::Relay);
    checkServed(fleet, crowds, ServedFleet::Options {}.descriptors);
}

TEST(MisbehavingClients, HttpHeadersWithoutEnd)
{
    constexpr std::size_t connections = 16;
    ServedFleet fleet({ .name = "headers" });
    Crowds crowds(fleet);
    for (const auto port : { Port::Ready, Port::Metrics, Port::Peers })
        crowds.add({ .bytes = headersWithoutEnd() }, connections, port);
    checkServed(fleet, crowds, ServedFleet::Options {}.descriptors);
}

// Guards against memory for responses that nobody reads: each request is short, and its response many times longer.
TEST(MisbehavingClients, HttpRequestsAheadWithoutReading)
{
    constexpr std::size_t connections = 16;
    constexpr std::size_t requests = 4'000;
    ServedFleet fleet({ .name = "http-ahead" });
    std::string ahead;
    for (std::size_t i = 0; i < requests; ++i)
        ahead += "GET /metrics HTTP/1.1\r\nHost: test\r\n\r\n";
    Crowds crowds(fleet);
    crowds.add({ .bytes = ahead, .reads = false }, connections, Port::Metrics);
    checkServed(fleet, crowds, ServedFleet::Options {}.descriptors);
    crowds.all.clear();
    CHECK(fleet.answersHttp(0, Port::Metrics, "/metrics"));
}

TEST(MisbehavingClients, ConnectionsWithoutARequestAtHttpAndRelayPorts)
{
    constexpr std::size_t descriptors = 96;
    ServedFleet fleet({ .name = "http-descriptors", .descriptors = descriptors });
    Crowds crowds(fleet);
    for (const auto port : { Port::Ready, Port::Metrics, Port::Peers, Port::Relay })
        crowds.add({ .bytes = {} }, descriptors / 2, port);
    checkServed(fleet, crowds, descriptors);
    CHECK(fleet.answersHttp(0, Port::Ready, "/v1/ready"));
}

TEST(MisbehavingClients, AllMixedThroughARelay)
{
    constexpr std::size_t descriptors = 160;
    constexpr std::size_t each = 24;
    constexpr std::size_t returns = 100;
    ServedFleet fleet({ .name = "mixed", .daemons = 3, .descriptors = descriptors, .work = 10ms });
    writeLargeItem(fleet);
    Crowds crowds(fleet);
    crowds.add({ .bytes = "STARTUP " + filler(largestMessage - 8), .returns = returns }, each);
    crowds.add({ .bytes = std::string(startup) + largeRead(true) }, each);
    crowds.add({ .bytes = std::string(startup) + largeRead(false), .piece = smallPiece, .endless = "x" }, each);
    crowds.add({ .bytes = std::string(startup) + readsAhead(), .reads = false }, each);
    crowds.add({ .bytes = settingsWithoutEnd() + "QUERY r READ item\r\n" }, fewSessions);
    crowds.add({ .bytes = namesWithoutEnd() }, fewSessions);
    crowds.add({ .bytes = std::string(startup) }, descriptors);
    checkServed(fleet, crowds, descriptors);
}

// Guards against limits that callers meet who keep within theirs: idle sessions, and messages of the largest size, one at a time, in the smallest VM.
TEST(MisbehavingClients, CallersWithinTheLimitsMeetNone)
{
    constexpr std::size_t smallestMemory = 112; // MB
    constexpr std::size_t fewestDescriptors = 3'010;
    constexpr std::size_t idleSessions = 1'500;
    constexpr int rounds = 3;
    ServedFleet fleet({ .name = "within", .memory = smallestMemory, .descriptors = fewestDescriptors });
    Crowds crowds(fleet);
    crowds.add({ .bytes = std::string(startup) + "QUERY s SET name value\r\nQUERY r READ item\r\n" }, idleSessions);
    crowds.settle();
    std::vector<std::unique_ptr<OrdinarySession>> sessions;
    for (std::size_t i = 0; i < fewSessions; ++i)
        sessions.push_back(std::make_unique<OrdinarySession>(fleet.events(), fleet.address(0, Port::Callers)));
    const auto statement = "READ " + filler(largestMessage - 100);
    for (int round = 0; round < rounds; ++round) {
        for (const auto& session : sessions)
            CHECK(session->run(statement, 20s));
    }
    UT_PRINT(StringFromFormat("%d sessions, peak %d kB, %d descriptors", static_cast<int>(crowds.all.front()->size()), static_cast<int>(fleet.peakMemory(0) >> 10U), static_cast<int>(fleet.openDescriptors(0))).asCharString());
    CHECK_EQUAL(idleSessions, crowds.all.front()->size());
    CHECK_COMPARE(fleet.peakMemory(0), <=, smallestMemory << 20U);
}
