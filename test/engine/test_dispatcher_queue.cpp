#include "engine/session_fixture.hpp"

using namespace amaranthhall;
using namespace amaranthhall::engine;
using namespace amaranthhall::engine::fakes;
using namespace std::chrono_literals;

TEST_GROUP_BASE(EngineQueue, SessionFixture)
{
    SessionSettings noSettings;
    std::vector<AcquiredLink> acquired;
    std::vector<std::string> order; ///< Of grants and refusals.
    std::vector<Dispatcher::Ticket> tickets;

    void setup() override
    {
        SessionFixture::setup();
        this->dispatcher = std::make_unique<Dispatcher>(this->loop, this->links, this->testCatalog, Dispatcher::Options { .zone = "z", .sharers = [](auto) { return std::optional<std::size_t>(1); }, .metrics = &this->metrics });
        this->dispatcher->onCatalogChanged();
    }

    void teardown() override
    {
        this->tickets.clear();
        this->acquired.clear();
        SessionFixture::teardown();
    }

    void request(const std::string& name, unsigned priority, Duration target, Duration timeout, const char* organisation = "")
    {
        const auto now = this->loop.now();
        LinkRequirements requirements { .service = "s", .organisation = organisation, .target = now + target, .deadline = now + timeout, .priority = priority, .kind = { .consistency = 1, .priority = priority }, .settings = &this->noSettings };
        this->tickets.push_back(this->dispatcher->acquire(std::move(requirements), [this, name](auto result) {
            this->order.push_back(result ? name : "refused " + name);
            if (result)
                this->acquired.push_back(std::move(*result));
        }));
    }

    /// Acquires links until the dispatcher grants no more.
    void useAllLinks(const char* organisation = "")
    {
        for (int i = 0; i < 60; ++i)
            this->request("first", 2, 10s, 20s, organisation);
        this->runFor(100ms);
        this->tickets.clear();
        this->order.clear();
        CHECK(!this->acquired.empty() && this->acquired.size() < 60);
    }

    void release()
    {
        this->acquired.pop_back();
        this->runFor(5ms);
    }
};

// The most urgent route was refused nearly as often as cheap work that had arrived before it.
TEST(EngineQueue, AFreedLinkGoesToTheMostUrgentAndThenToTheEarliestTarget)
{
    this->useAllLinks();
    this->request("later", 1, 300ms, 1s);
    this->request("earlier", 1, 200ms, 1s);
    this->request("urgent", 0, 500ms, 1s);
    this->runFor(5ms);
    CHECK(this->order.empty());
    this->release();
    this->release();
    this->release();
    CHECK((this->order == std::vector<std::string> { "urgent", "earlier", "later" }));
}

TEST(EngineQueue, ACancelledStatementLeavesTheQueue)
{
    this->useAllLinks();
    this->request("cancelled", 0, 200ms, 1s);
    this->request("waiting", 1, 200ms, 1s);
    this->runFor(5ms);
    this->tickets.front().reset();
    this->release();
    CHECK((this->order == std::vector<std::string> { "waiting" }));
}

// A statement held until its caller has gone costs the caller the time in which it could have asked another daemon.
TEST(EngineQueue, AStatementThatNoLongerFitsBeforeItsTimeoutIsRefusedAndCounted)
{
    this->useAllLinks();
    this->request("hopeless", 1, 20ms, 30ms);
    this->runFor(28ms);
    this->release();
    CHECK((this->order == std::vector<std::string> { "refused hopeless" }));
    const auto text = this->metrics.serialize();
    STRCMP_CONTAINS(R"(amaranthhall_queue_refused_total{class="bounded_staleness_1",reason="timeout"} 1)", text.c_str());
}

TEST(EngineQueue, WaitingStatementsAreCountedByClass)
{
    this->useAllLinks();
    this->request("waiting", 1, 2s, 3s);
    this->runFor(300ms);
    STRCMP_CONTAINS(R"(amaranthhall_waiting_statements{class="bounded_staleness_1"} 1)", this->metrics.serialize().c_str());
}
