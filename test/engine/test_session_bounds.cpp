#include "amaranthhall/budget/io/budget_guard.hpp"
#include "engine/session_fixture.hpp"

using namespace amaranthhall::engine;
using namespace amaranthhall::engine::fakes;
using amaranthhall::budget::BudgetGuard;

namespace {

constexpr std::size_t largeValue = 1U << 20U; // bytes; about the largest message
constexpr std::uint64_t machineMemory = 1U << 30U;

/// Holds memory of an account without being a connection.
class FakeHolder final : public amaranthhall::budget::Holder {
public:
    explicit FakeHolder(amaranthhall::budget::Account& account)
        : charge(&account, amaranthhall::budget::HolderKind::Caller, *this)
    {
    }
    [[nodiscard]] bool isUnfinished() const override { return false; }
    [[nodiscard]] bool hasUnreadReplies() const override { return false; }
    [[nodiscard]] std::uint64_t transferred() const override { return 0; }
    void onSlot() override { }
    void shed() override { }

    amaranthhall::budget::Charge charge;
};

}

TEST_GROUP_BASE(EngineSessionBounds, SessionFixture) {
    Reply set(const std::string& name, std::size_t size) { return this->ask(RequestKind::Set, "SET", name, std::string(size, 'x'));
}
}
;

// Guards against session state without a bound.
TEST(EngineSessionBounds, SettingsAndStatementsTogetherHoldAtMostTwoMegabytes)
{
    this->open("stale");
    CHECK(this->set("a", largeValue).succeeded());
    CHECK(this->ask(RequestKind::Prepare, "PREPARE s", "s", std::string(largeValue / 2, 'x')).succeeded());
    CHECK(this->set("b", largeValue).code == ReplyCode::TooLarge);
    // What replaces a value, or takes one away, makes room.
    CHECK(this->set("a", largeValue).succeeded());
    CHECK(this->ask(RequestKind::Deallocate, "DEALLOC s", "s").succeeded());
    CHECK(this->set("b", largeValue / 2).succeeded());
    CHECK(this->session->stateBytes() >= largeValue + largeValue / 2);
}

TEST(EngineSessionBounds, StateGrowsOnlyALittleWhileMemoryIsScarce)
{
    BudgetGuard guard(this->loop, { .memory = machineMemory, .descriptors = 1000 }, this->metrics);
    this->context->guard = &guard;
    FakeHolder holder(guard.account());
    this->open("stale");
    CHECK(this->set("a", largeValue).succeeded());
    holder.charge.set(guard.account().state().capacity / 2);
    CHECK(this->set("b", largeValue / 2).code == ReplyCode::Busy);
    CHECK(this->set("a", 10).succeeded());
    CHECK(this->set("b", 1000).succeeded());
    holder.charge.set(0);
    CHECK(this->set("c", largeValue / 2).succeeded());
}

// Guards against the names that links keep of statements that sessions have dropped.
TEST(EngineSessionBounds, ALinkIsResetOnceItHoldsManyPreparedStatements)
{
    constexpr std::size_t shapeSize = 100'000;
    this->open("stale");
    for (int i = 0; i < 8; ++i) {
        CHECK(this->ask(RequestKind::Prepare, "PREPARE s", "s", std::to_string(i) + std::string(shapeSize, 'x')).succeeded());
        CHECK(this->ask(RequestKind::Execute, "EXECUTE s a", "s", "a").succeeded());
    }
    CHECK(this->countSent("p", "RESET") + this->countSent("r", "RESET") > 0);
}
