#include "amaranthhall/load/io/load_exchange.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"
#include "engine/fake_links.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <utility>

using namespace amaranthhall;
using namespace std::chrono_literals;

/// A daemon "me" in zone "z" that is a home of the service "s" with two other daemons, one of them in its zone, and one of an earlier build.
TEST_GROUP(LoadExchange)
{
    kernel::Loop loop;
    catalog::Catalog testCatalog;
    engine::fakes::FakeLinkFactory links { this->loop };
    gossip::PeerRegistry peers;
    telemetry::Metrics metrics;
    std::vector<std::pair<std::uint16_t, std::string>> sent; ///< Port and content of each datagram.
    std::unique_ptr<relay::HomeRouter> homes;
    std::unique_ptr<engine::Dispatcher> dispatcher;
    std::unique_ptr<load::LoadExchange> exchange;

    void setup() override
    {
        this->testCatalog.apply({ .version = 1, .services = { { "s", { .name = "s", .maximumConnections = 36 } } } });
        this->testCatalog.put({ .id = "u", .service = "s", .zone = "z", .slots = 1, .startedAt = 7 }, { .number = 1 }, this->loop.now());
        this->addPeer("near", 1, "z", gossip::currentRelayVersion);
        this->addPeer("far", 2, "y", gossip::currentRelayVersion);
        this->addPeer("old", 3, "z", gossip::loadReportVersion - 1);
        this->homes = std::make_unique<relay::HomeRouter>(this->loop, this->testCatalog, this->peers, relay::HomeRouter::Options { .vm = "me", .zone = "z", .relayPort = 9 });
        this->homes->refresh();
        this->dispatcher = std::make_unique<engine::Dispatcher>(this->loop, this->links, this->testCatalog, engine::Dispatcher::Options { .zone = "z", .sharers = [](auto) { return std::optional<std::size_t>(4); } });
        this->dispatcher->onCatalogChanged();
        this->exchange = std::make_unique<load::LoadExchange>(load::LoadExchange::Parts { .loop = this->loop, .dispatcher = *this->dispatcher, .peers = this->peers, .homes = *this->homes },
            load::LoadExchange::Options { .vm = "me", .zone = "z", .send = [this](const auto& to, auto bytes) { this->sent.emplace_back(to.port, std::string(bytes)); } }, this->metrics);
    }

    void addPeer(const std::string& vm, std::uint16_t port, const std::string& zone, std::uint32_t version)
    {
        this->peers.noteActivity(vm, { .address = { .host = "127.0.0.1", .port = port }, .zone = zone, .relayVersion = version }, this->loop.now());
    }

    void runFor(Duration span)
    {
        const auto timer = this->loop.after(span, [this] { this->loop.stop(); });
        this->loop.run();
    }

    [[nodiscard]] long countSentTo(std::uint16_t port) const
    {
        return std::count_if(this->sent.begin(), this->sent.end(), [port](const auto& datagram) { return datagram.first == port; });
    }
};

// Guards against datagrams that cost bytes while nothing is busy, and that daemons of the previous build can't read.
TEST(LoadExchange, OnlyABusyUpstreamIsReportedAndOnlyToDaemonsThatReadReports)
{
    this->runFor(250ms);
    LONGS_EQUAL(0, this->sent.size());
    this->links.upstreams["u"].isSilent = true;
    static const engine::SessionSettings none;
    std::vector<engine::AcquiredLink> held;
    const auto ticket = this->dispatcher->acquire({ .service = "s", .target = this->loop.now() + 1s, .deadline = this->loop.now() + 1s, .settings = &none }, [&](tl::expected<engine::AcquiredLink, engine::Refusal> link) {
        held.push_back(std::move(*link));
        held.back().send({ .id = "q", .text = "READ a" }, [](const engine::Reply&) {});
    });
    this->runFor(850ms);
    LONGS_EQUAL(1, held.size());
    CHECK(this->countSentTo(1) >= 4);
    CHECK(this->countSentTo(2) >= 1);
    CHECK(this->countSentTo(2) <= this->countSentTo(1) / 2);
    LONGS_EQUAL(0, this->countSentTo(3));
    const auto report = load::decodeReport(this->sent.back().second);
    LONGS_EQUAL(load::upstreamKey("u", 7), report->entries[0].upstream);
    DOUBLES_EQUAL(1, report->entries[0].load.running, 0.2);
}

TEST(LoadExchange, ReportsOfHomesCountUnlessTheyAreAboutAnEarlierStartOrFromAStranger)
{
    this->runFor(150ms);
    const auto receive = [this](const char* vm, std::uint64_t startedAt) {
        return this->exchange->receive(load::encodeReport({ .sender = hashing::shortId(vm), .sentAt = 1, .entries = { { .upstream = load::upstreamKey("u", startedAt), .load = { .running = 3 } } } }));
    };
    CHECK_TRUE(receive("near", 6));
    CHECK_TRUE(receive("stranger", 7));
    CHECK_FALSE(this->dispatcher->loadOfOthers("u").has_value());
    CHECK_TRUE(receive("far", 7));
    DOUBLES_EQUAL(3, this->dispatcher->loadOfOthers("u")->running, 1e-9);
    CHECK_FALSE(this->exchange->receive("no report"));
}
