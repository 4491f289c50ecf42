#include "amaranthhall/engine/upstream_pool.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

/// A link that notes its destruction.
class CountedLink final : public engine::Link {
public:
    explicit CountedLink(int& usedDestroyed) noexcept
        : destroyed(usedDestroyed)
    {
    }
    ~CountedLink() override { ++this->destroyed; }
    CountedLink(const CountedLink&) = delete;
    CountedLink& operator=(const CountedLink&) = delete;
    void send(const engine::Command&, Done) override { }
    void close() override { }

private:
    int& destroyed;
};

/// Hands the result of an opening to the test, which delivers it when it likes.
class HeldFactory final : public engine::LinkFactory {
public:
    [[nodiscard]] std::unique_ptr<Opening> open(const catalog::UpstreamEntry&, std::string_view, Duration, Opened opened, std::function<void()>) override
    {
        this->deliver = std::move(opened);
        return std::make_unique<Opening>();
    }
    [[nodiscard]] std::optional<engine::UpstreamStatus> readStatus(const engine::Reply&) const override { return std::nullopt; }

    Opened deliver;
};

}

TEST_GROUP(UpstreamPool)
{
    kernel::Loop loop;
    HeldFactory factory;
    int destroyedLinks { 0 };
    std::shared_ptr<engine::UpstreamPool> pool = std::make_shared<engine::UpstreamPool>(this->loop, this->factory, catalog::UpstreamEntry { .id = "p", .slots = 2 }, engine::UpstreamPool::Callbacks { .available = [] {}, .logPointReported = [](const auto&) {} });

    [[nodiscard]] engine::OpenResult makeResult() { return { .link = std::make_unique<CountedLink>(this->destroyedLinks) }; }

    void runLoopOnce()
    {
        this->loop.post([this] { this->loop.stop(); });
        this->loop.run();
    }
};

TEST(UpstreamPool, AnOpeningYieldsAnIdleLink)
{
    this->pool->open("");
    this->factory.deliver(this->makeResult());
    LONGS_EQUAL(1, this->pool->size());
    LONGS_EQUAL(0, this->pool->opening());
}

// Failure: the upstream was given up and its openings cancelled; one of them ended in the same turn of the loop, and the daemon crashed.
TEST(UpstreamPool, AnOpeningThatEndsAfterItWasCancelledIsIgnored)
{
    this->pool->open("");
    this->pool->closeAll();
    this->factory.deliver({});
    LONGS_EQUAL(0, this->pool->size());
    LONGS_EQUAL(0, this->pool->opening());
    this->runLoopOnce();
}

// Failure: as above; the link may be the caller, so it is destroyed on a later turn.
TEST(UpstreamPool, TheLinkOfACancelledOpeningIsClosedLater)
{
    this->pool->open("");
    this->pool->closeAll();
    this->factory.deliver(this->makeResult());
    LONGS_EQUAL(0, this->pool->size());
    LONGS_EQUAL(0, this->destroyedLinks);
    this->runLoopOnce();
    LONGS_EQUAL(1, this->destroyedLinks);
}

// Failure: as above, where the upstream was replaced, so that its pool was gone already.
TEST(UpstreamPool, AnOpeningThatOutlivesItsPoolIsIgnored)
{
    this->pool->open("");
    this->pool->closeAll();
    this->pool.reset();
    this->factory.deliver({});
    this->runLoopOnce();
}
