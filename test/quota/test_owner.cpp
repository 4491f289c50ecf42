#include "amaranthhall/quota/holder.hpp"
#include "amaranthhall/quota/ownership.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using quota::OwnerState;
using quota::Step;

TEST_GROUP(QuotaOwner)
{
    const catalog::OperationLimit limit { .perSecond = 100, .burst = 100 };
    const quota::Room room { quota::divideRoom(this->limit, {}, 1) };
    const Time now { 100s };
    quota::OwnedBucket owned { quota::adoptBucket(100, this->limit, this->now) };

    quota::Grant request(const char* holder, std::uint64_t sequence, std::uint32_t wanted, std::uint32_t returned = 0)
    {
        return quota::grantTokens(this->owned, { .holder = holder, .sequence = sequence, .wanted = wanted, .returned = returned }, this->limit, this->room, this->now);
    }
};

TEST(QuotaOwner, ARepeatedRequestIsCountedOnce)
{
    LONGS_EQUAL(20, this->request("a", 1, 20).tokens);
    LONGS_EQUAL(20, this->request("a", 1, 20).tokens);
    DOUBLES_EQUAL(80, this->owned.bucket.tokens, 1e-9);
    LONGS_EQUAL(10, this->request("a", 2, 10).tokens);
    LONGS_EQUAL(0, this->request("a", 1, 20).tokens); // late
    DOUBLES_EQUAL(70, this->owned.bucket.tokens, 1e-9);
}

// A restarted process counts its requests from 1 again; the owner must not take them for late ones.
TEST(QuotaOwner, ARestartedHolderIsServed)
{
    for (std::uint64_t sequence = 1; sequence <= 9; ++sequence)
        static_cast<void>(this->request("vm#1", sequence, 1));
    LONGS_EQUAL(1, this->request("vm#2", 1, 1).tokens);
    quota::forgetIdleHolders(this->owned, this->now + quota::holderMemory + 1s);
    CHECK_TRUE(this->owned.lastGrants.empty());
}

TEST(QuotaOwner, UnusedTokensReturnToTheBucketButNoMoreThanWereGranted)
{
    static_cast<void>(this->request("a", 1, 20));
    static_cast<void>(this->request("a", 2, 1, 12));
    DOUBLES_EQUAL(91, this->owned.bucket.tokens, 1e-9);
    static_cast<void>(this->request("a", 3, 1, 50));
    DOUBLES_EQUAL(91, this->owned.bucket.tokens, 1e-9);
    static_cast<void>(this->request("b", 1, 1, 50)); // a daemon that was granted its tokens by an earlier owner
    DOUBLES_EQUAL(90, this->owned.bucket.tokens, 1e-9);
}

TEST(QuotaOwner, NearTheLimitTokensAreGrantedOneAtATime)
{
    LONGS_EQUAL(80, this->request("a", 1, 80).tokens);
    LONGS_EQUAL(1, this->request("a", 2, 30).tokens);
    this->owned.bucket.tokens = 0.5;
    const auto refused = this->request("a", 5, 1);
    LONGS_EQUAL(0, refused.tokens);
    CHECK(refused.retryAfter == 5ms);
}

TEST(QuotaOwner, AHolderUsesItsTokensOnlyWithinTheirLifetime)
{
    quota::HeldTokens held;
    CHECK(quota::takeToken(held, this->now) == Step::Wait);
    const auto asked = quota::nextRequest(held, 5, this->now);
    LONGS_EQUAL(5, asked.wanted);
    quota::applyGrant(held, { .sequence = asked.sequence, .tokens = 5, .lifetime = 100ms });
    CHECK_TRUE(quota::takeGranted(held, this->now + 99ms));
    CHECK_FALSE(quota::takeGranted(held, this->now + 100ms));
    LONGS_EQUAL(4, quota::nextRequest(held, 0, this->now + 200ms).returned);
    LONGS_EQUAL(0, quota::nextRequest(held, 0, this->now + 300ms).returned);
}

TEST(QuotaOwner, ALateGrantOfAnEarlierRequestIsIgnored)
{
    quota::HeldTokens held;
    const auto first = quota::nextRequest(held, 1, this->now);
    const auto second = quota::nextRequest(held, 1, this->now + 1s);
    quota::applyGrant(held, { .sequence = first.sequence, .tokens = 9, .lifetime = 10s });
    CHECK_FALSE(quota::takeGranted(held, this->now + 1s));
    quota::applyGrant(held, { .sequence = second.sequence, .tokens = 1, .lifetime = 10s });
    quota::applyGrant(held, { .sequence = second.sequence, .tokens = 1, .lifetime = 10s }); // repeated
    CHECK_TRUE(quota::takeGranted(held, this->now + 1s));
    CHECK_FALSE(quota::takeGranted(held, this->now + 1s));
}

TEST(QuotaOwner, ARefusalHoldsUntilTheBucketHasAToken)
{
    quota::HeldTokens held;
    const auto asked = quota::nextRequest(held, 1, this->now);
    quota::applyGrant(held, { .sequence = asked.sequence, .retryAfter = 20ms });
    CHECK(quota::takeToken(held, this->now + 10ms) == Step::Refuse);
    CHECK(quota::takeToken(held, this->now + 20ms) == Step::Wait);
}

TEST(QuotaOwner, WithoutAnOwnerADaemonUsesItsPartOfTheRoom)
{
    quota::HeldTokens held;
    const auto part = quota::divideRoom(this->limit, {}, 4);
    int admitted = 0;
    for (int step = 0; step < 500; ++step)
        admitted += quota::takeIsolated(held, part, {}, 0.5, this->now + step * 10ms) ? 1 : 0;
    CHECK(admitted >= 1);
    CHECK(admitted <= part.isolatedTokens * 2 + 1);
}

TEST(QuotaOwner, ABucketIsHandedOverWithItsTokens)
{
    quota::Ownership from;
    from.state = OwnerState::Active;
    from.owned = this->owned;
    from.owned.bucket.tokens = 7;
    from.support.votes["voter"] = { .until = this->now + 1s };
    quota::Ownership to;
    quota::beginAdoption(to, { "from", "other" }, this->now);
    CHECK(to.state == OwnerState::Adopting);
    quota::applyRelease(to, "other", {}, this->limit, this->now);
    CHECK(to.state == OwnerState::Adopting);
    const auto release = quota::releaseBucket(from, { .vm = "to", .ranksFirst = true }, this->limit, this->room, this->now);
    CHECK_TRUE(quota::isRedirecting(from, this->now));
    // The reply was lost, and the request is repeated.
    DOUBLES_EQUAL(release.tokens, quota::releaseBucket(from, { .vm = "to", .ranksFirst = true }, this->limit, this->room, this->now + 15ms).tokens, 1e-9);
    CHECK_FALSE(quota::releaseBucket(from, { .vm = "third", .ranksFirst = true }, this->limit, this->room, this->now + 15ms).wasHeld);
    quota::applyRelease(to, "from", release, this->limit, this->now);
    CHECK(to.state == OwnerState::Active);
    DOUBLES_EQUAL(7, to.owned.bucket.tokens, 1e-9);
}

// Guards against two owners: a bucket that was handed on came back to life when the reply that had brought it arrived a second time.
TEST(QuotaOwner, ACopyOfAReleaseIsIgnoredAfterTheBucketWasHandedOn)
{
    quota::Ownership owner;
    const quota::Release release { .wasHeld = true, .tokens = 7, .number = 41 };
    quota::beginAdoption(owner, { "stopping" }, this->now);
    quota::applyRelease(owner, "stopping", release, this->limit, this->now);
    static_cast<void>(quota::releaseBucket(owner, { .vm = "back", .ranksFirst = true }, this->limit, this->room, this->now + 5ms));
    CHECK_FALSE(quota::applyUnaskedRelease(owner, "stopping", release, this->now + 20ms));
    CHECK(owner.state == OwnerState::Released);
    CHECK_FALSE(quota::applyUnaskedRelease(owner, "stopping", { .wasHeld = true, .tokens = 7 }, this->now + 20ms)); // of a build without numbers
    quota::beginAdoption(owner, { "stopping" }, this->now + 25ms);
    quota::applyRelease(owner, "stopping", release, this->limit, this->now + 26ms);
    CHECK(owner.state == OwnerState::Active);
    DOUBLES_EQUAL(0, owner.owned.bucket.tokens, 1e-9); // as if the reply had said that there is no bucket
    CHECK_TRUE(owner.isStarting);
    static_cast<void>(quota::releaseBucket(owner, { .vm = "back", .ranksFirst = true }, this->limit, this->room, this->now + 27ms));
    CHECK_TRUE(quota::applyUnaskedRelease(owner, "back", { .wasHeld = true, .tokens = 3, .number = 42 }, this->now + 30ms));
    static_cast<void>(quota::releaseBucket(owner, { .vm = "back", .ranksFirst = true }, this->limit, this->room, this->now + 40ms));
    CHECK_FALSE(quota::applyUnaskedRelease(owner, "back", { .wasHeld = true, .tokens = 3, .number = 42 }, this->now + 50ms));
}

TEST(QuotaOwner, WithoutAPredecessorTheBucketStartsWithItsPartOfTheRoom)
{
    quota::Ownership alone;
    quota::beginAdoption(alone, {}, this->now);
    DOUBLES_EQUAL(0, alone.owned.bucket.tokens, 1e-9);
    alone.support.voters = 3;
    const auto request = quota::leaseRequest(alone, this->now);
    quota::LeaseReply reply;
    reply.sentAt = request.sentAt;
    reply.mayStart = true;
    quota::applyVote(alone, "a", reply, this->room, this->now + 1ms);
    DOUBLES_EQUAL(0, alone.owned.startTokens, 1e-9);
    quota::applyVote(alone, "b", reply, this->room, this->now + 1ms);
    quota::applyVote(alone, "c", reply, this->room, this->now + 1ms);
    DOUBLES_EQUAL(this->room.initialTokens, alone.owned.startTokens, 1e-9);
    CHECK_FALSE(quota::leaseRequest(alone, this->now + 1ms).isStarting);
    // What is deducted for unknown shares must not be told as lent, or each change of the owner would deduct it for another five seconds.
    quota::noteUnknownShares(alone.shares, this->now);
    quota::reserveShares(alone.shares, this->limit, this->room, this->now);
    CHECK(alone.shares.lent > 0);
    DOUBLES_EQUAL(0, quota::leaseRequest(alone, this->now).lentPerSecond, 1e-9);
    quota::Ownership unanswered;
    quota::beginAdoption(unanswered, { "dead" }, this->now);
    quota::endAdoption(unanswered, this->limit, this->now + 35ms);
    DOUBLES_EQUAL(0, unanswered.owned.bucket.tokens, 1e-9);
    CHECK_TRUE(unanswered.isStarting);
}

TEST(QuotaOwner, OfTwoDaemonsThatAdoptFromEachOtherTheFirstInRankWins)
{
    quota::Ownership first;
    quota::Ownership second;
    quota::beginAdoption(first, { "second" }, this->now);
    quota::beginAdoption(second, { "first" }, this->now);
    const auto toSecond = quota::releaseBucket(first, { .vm = "second", .ranksFirst = false }, this->limit, this->room, this->now);
    const auto toFirst = quota::releaseBucket(second, { .vm = "first", .ranksFirst = true }, this->limit, this->room, this->now);
    quota::applyRelease(second, "first", toSecond, this->limit, this->now);
    quota::applyRelease(first, "second", toFirst, this->limit, this->now);
    CHECK(first.state == OwnerState::Active);
    CHECK(second.state == OwnerState::Released);
    STRCMP_EQUAL("first", second.successor.c_str());
}
