#include "amaranthhall/relay/relay_client.hpp"
#include "amaranthhall/relay/relay_server.hpp"
#include "amaranthhall/standin/fault_proxy.hpp"
#include "engine/session_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using engine::ReplyCode;
using engine::RequestKind;

namespace {

/// Relays every statement to one home, over a proxy; counts the streams that were opened on a connection that was known to stall.
class SingleHome final : public engine::RelayRouter {
public:
    SingleHome(kernel::Loop& usedLoop, kernel::Address usedAddress)
        : loop(usedLoop)
        , client(usedLoop)
        , address(std::move(usedAddress))
    {
    }

    [[nodiscard]] bool hasLocalConnections(std::string_view) override { return false; }
    [[nodiscard]] bool isHomeOf(std::string_view, std::string_view) override { return false; }
    void noteLeaderReachability(std::string_view, const std::string&, engine::LeaderReachability) override { }
    [[nodiscard]] std::unique_ptr<engine::RelayStream> open(const engine::RelayRequirements&) override { return this->client.open("home", this->address); }
    [[nodiscard]] bool isAvoided() { return this->client.isAvoided("home", this->loop.now()); }

private:
    kernel::Loop& loop;
    relay::RelayClient client;
    kernel::Address address;
};

}

/// A session whose statements run at another daemon; their connection goes silent for good, without a reset, while new ones work.
TEST_GROUP_BASE(SilentConnections, engine::fakes::SessionFixture)
{
    std::unique_ptr<engine::SessionContext> homeContext;
    std::unique_ptr<relay::RelayServer> home;
    std::unique_ptr<standin::FaultProxy> proxy;
    std::unique_ptr<SingleHome> relays;

    void setup() override
    {
        engine::fakes::SessionFixture::setup();
        this->homeContext = std::make_unique<engine::SessionContext>(*this->context);
        this->home = std::make_unique<relay::RelayServer>(this->loop, kernel::Address { .host = "127.0.0.1" }, *this->homeContext);
        this->proxy = std::make_unique<standin::FaultProxy>(this->loop, standin::FaultProxyOptions { .listen = { .host = "127.0.0.1" } });
        const auto port = this->proxy->addRoute("home", { .host = "127.0.0.1", .port = this->home->port() });
        this->relays = std::make_unique<SingleHome>(this->loop, kernel::Address { .host = "127.0.0.1", .port = port });
        this->context->relays = this->relays.get();
        this->open("own");
        CHECK_TRUE(this->write().succeeded());
    }

    void teardown() override
    {
        this->session.reset();
        this->relays.reset();
        engine::fakes::SessionFixture::teardown();
    }

    void silence() const { this->proxy->addRule({ .route = "home", .toTarget = { .drop = true }, .toSource = { .drop = true } }); }
};

// Failure: only reads noticed the silence, so callers that write were sent to the silent connection again and again.
TEST(SilentConnections, AWriteThatMeetsASilentConnectionLetsTheNextOneUseAnother)
{
    this->silence();
    CHECK(this->write().code == ReplyCode::InDoubt);
    this->proxy->clearRules();
    CHECK_TRUE(this->relays->isAvoided());
    // The connection is closed and made anew in the background.
    this->runFor(1500ms);
    CHECK_FALSE(this->relays->isAvoided());
    CHECK_TRUE(this->write().succeeded());
}

TEST(SilentConnections, AWayThatIsSilentIsAvoidedBeforeTheStatementEnds)
{
    this->silence();
    this->session->handle({ .id = "w", .kind = RequestKind::Write, .text = "WRITE a b", .writes = true });
    this->runFor(200ms);
    CHECK_TRUE(this->session->isBusy());
    CHECK_TRUE(this->relays->isAvoided());
    this->runWhile([this] { return this->session->isBusy(); });
}

TEST(SilentConnections, AStatementOfATransactionNoticesTheSilence)
{
    CHECK_TRUE(this->ask(RequestKind::Begin, "BEGIN").succeeded());
    this->silence();
    CHECK_FALSE(this->write().succeeded());
    CHECK_TRUE(this->relays->isAvoided());
}

// Failure: the other daemon was never told that the transaction is over, and kept its link to the upstream for good.
TEST(SilentConnections, ATransactionBehindASilentConnectionIsRolledBack)
{
    CHECK_TRUE(this->ask(RequestKind::Begin, "BEGIN").succeeded());
    CHECK_TRUE(this->write().succeeded());
    this->silence();
    this->session.reset();
    this->runFor(500ms);
    CHECK_FALSE(this->wasSent("p", "- ROLLBACK"));
    this->runFor(800ms); // the limit for idle transactions is 60 ms, and the other daemon waits for a second more
    CHECK_TRUE(this->wasSent("p", "- ROLLBACK"));
}
