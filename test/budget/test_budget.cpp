#include "amaranthhall/budget/account.hpp"
#include "amaranthhall/budget/shares.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <vector>

using namespace amaranthhall;
using namespace amaranthhall::budget;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t megabyte = 1U << 20U;

class FakeHolder final : public Holder {
public:
    FakeHolder(Account& account, HolderKind kind)
        : charge(&account, kind, *this)
    {
    }

    [[nodiscard]] bool isUnfinished() const override { return this->unfinished; }
    [[nodiscard]] bool hasUnreadReplies() const override { return this->unread; }
    [[nodiscard]] std::uint64_t transferred() const override { return this->bytes; }
    void onSlot() override { ++this->slotsGiven; }
    void shed() override
    {
        this->isShed = true;
        this->charge.releaseSlot();
        this->charge.set(0);
    }

    bool unfinished { false };
    bool unread { false };
    bool isShed { false };
    std::uint64_t bytes { 0 };
    int slotsGiven { 0 };
    Charge charge;
};

std::vector<Reason> review(Account& account, Time now)
{
    std::vector<Reason> reasons;
    account.review(now, [&](Reason reason, std::uint64_t) { reasons.push_back(reason); });
    return reasons;
}

}

TEST_GROUP(Budget)
{
    Time start { 100s };

    static std::unique_ptr<FakeHolder> makeHolder(Account & account, std::uint64_t bytes = 0, HolderKind kind = HolderKind::Caller)
    {
        auto holder = std::make_unique<FakeHolder>(account, kind);
        holder->charge.set(bytes);
        return holder;
    }
};

TEST(Budget, SmallestVmKeepsRoomForItselfAndItsCallers)
{
    const auto shares = divideLimits({ .memory = 112 * megabyte, .descriptors = 3'010 });
    CHECK_EQUAL(48 * megabyte, shares.memory);
    CHECK(shares.callers > 1'900);
    // Files, and what the process opens itself.
    CHECK(3'010 - shares.callers - shares.relays - shares.peers - 2 * shares.http >= 200 + 400);
}

TEST(Budget, SharesOfAnyVmFitItsDescriptors)
{
    for (const std::size_t descriptors : { 16U, 96U, 512U, 10'756U }) {
        const auto shares = divideLimits({ .memory = 32 * megabyte, .descriptors = descriptors });
        CHECK(shares.callers + shares.relays + shares.peers + 2 * shares.http < descriptors);
    }
}

TEST(Budget, ChargesAddUpAndEndWithTheirConnections)
{
    Account account(8 * megabyte);
    {
        const auto first = makeHolder(account, 100);
        const auto second = makeHolder(account, 50);
        first->charge.set(30);
        CHECK_EQUAL(80, account.state().used);
        CHECK_EQUAL(2, account.holders());
    }
    CHECK_EQUAL(0, account.state().used);
    CHECK_EQUAL(0, account.holders());
}

// Guards against all large messages stopping in the middle because none has room to complete.
TEST(Budget, SlotsAreGivenInOrderAndOneIsAlwaysAvailable)
{
    Account account(4 * megabyte);
    const auto first = makeHolder(account);
    const auto second = makeHolder(account);
    auto third = makeHolder(account);
    const auto fourth = makeHolder(account);
    CHECK(first->charge.requestSlot());
    CHECK_FALSE(second->charge.requestSlot());
    CHECK_FALSE(third->charge.requestSlot());
    CHECK_FALSE(fourth->charge.requestSlot());
    CHECK_EQUAL(3, account.waiting());
    first->charge.releaseSlot();
    CHECK_EQUAL(1, second->slotsGiven);
    third.reset();
    second->charge.releaseSlot();
    CHECK_EQUAL(1, fourth->slotsGiven);
}

// Guards against callers that hold all slots and thereby keep other daemons from being read.
TEST(Budget, SlotsOfDaemonsDoNotWaitForThoseOfCallers)
{
    Account account(4 * megabyte);
    const auto caller = makeHolder(account);
    const auto daemon = makeHolder(account, 0, HolderKind::Relay);
    CHECK(caller->charge.requestSlot());
    CHECK(daemon->charge.requestSlot());
}

TEST(Budget, LargestHoldersAreClosedUntilPressureEnds)
{
    Account account(8 * megabyte);
    int notices = 0;
    account.onNearlyFull([&] { ++notices; });
    const auto small = makeHolder(account, megabyte);
    const auto large = makeHolder(account, 3 * megabyte);
    const auto larger = makeHolder(account, 4 * megabyte);
    CHECK_EQUAL(1, notices);
    const auto reasons = review(account, this->start);
    CHECK(larger->isShed);
    CHECK(large->isShed);
    CHECK_FALSE(small->isShed);
    CHECK(reasons == std::vector(2, Reason::Memory));
}

TEST(Budget, AnotherDaemonIsClosedForMemoryOnlyIfItStandsStill)
{
    Account account(8 * megabyte);
    const auto daemon = makeHolder(account, 8 * megabyte, HolderKind::Relay);
    static_cast<void>(review(account, this->start));
    CHECK(review(account, this->start + 2s).empty());
    daemon->unfinished = true;
    CHECK(review(account, this->start + 2s).empty());
    CHECK(review(account, this->start + 4s) == std::vector(1, Reason::Memory));
}

TEST(Budget, ASlowSenderThatMakesProgressIsKept)
{
    Account account(8 * megabyte);
    const auto slow = makeHolder(account, 100);
    const auto stalled = makeHolder(account, 100);
    slow->unfinished = stalled->unfinished = true;
    for (int second = 0; second < 20; ++second) {
        ++slow->bytes;
        static_cast<void>(review(account, this->start + std::chrono::seconds(second)));
    }
    CHECK_FALSE(slow->isShed);
    CHECK(stalled->isShed);
}

TEST(Budget, UnreadRepliesMayStandStillForLongerThanMessages)
{
    Account account(8 * megabyte);
    const auto reader = makeHolder(account, 100);
    reader->unfinished = reader->unread = true;
    static_cast<void>(review(account, this->start));
    CHECK(review(account, this->start + 59s).empty());
    CHECK(review(account, this->start + 60s) == std::vector(1, Reason::NoProgress));
}

TEST(Budget, ASlotThatOthersWaitForIsLostByStandingStillOrTakingTooLong)
{
    Account account(4 * megabyte);
    const auto holder = makeHolder(account);
    const auto waiting = makeHolder(account);
    CHECK(holder->charge.requestSlot());
    holder->unfinished = true;
    for (int second = 0; second < 20; ++second) {
        ++holder->bytes;
        CHECK(review(account, this->start + std::chrono::seconds(second)).empty());
    }
    CHECK_FALSE(waiting->charge.requestSlot());
    ++holder->bytes;
    CHECK(review(account, this->start + 20s) == std::vector(1, Reason::SlowInContention));
    CHECK_EQUAL(1, waiting->slotsGiven);
}

// Guards against a caller that keeps within the limits being closed because its statement takes long at the upstream.
TEST(Budget, ASlotHolderWithACompleteMessageIsKeptWhileOthersWait)
{
    Account account(4 * megabyte);
    const auto holder = makeHolder(account);
    const auto waiting = makeHolder(account);
    CHECK(holder->charge.requestSlot());
    CHECK_FALSE(waiting->charge.requestSlot());
    static_cast<void>(review(account, this->start));
    CHECK(review(account, this->start + 60s).empty());
}

TEST(Budget, IdleConnectionsWithoutARequestMakeRoomFirst)
{
    const std::vector<ConnectionState> states {
        { .isIdle = true, .hasServed = true, .quiet = 60s },
        { .isIdle = true, .hasServed = false, .quiet = 2s },
        { .isIdle = true, .hasServed = false, .quiet = 5s },
        { .isIdle = false, .hasServed = false, .quiet = 90s },
        { .isIdle = true, .hasServed = false, .quiet = 500ms },
    };
    CHECK((chooseReplaced(states, 3) == std::vector<std::size_t> { 2, 1, 0 }));
    CHECK((chooseReplaced(states, 1) == std::vector<std::size_t> { 2 }));
}
