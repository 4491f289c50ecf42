#include "amaranthhall/quota/bucket.hpp"
#include "amaranthhall/quota/room.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(QuotaBucket)
{
    const catalog::OperationLimit limit { .perSecond = 10, .burst = 5 };
    const Time start { 100s };
};

TEST(QuotaBucket, TokensAccrueUpToTheBurst)
{
    quota::Bucket bucket { .tokens = 1, .refilledAt = this->start };
    quota::refill(bucket, this->limit, this->start + 200ms);
    DOUBLES_EQUAL(3, bucket.tokens, 1e-9);
    quota::refill(bucket, this->limit, this->start + 100ms); // time does not run backwards
    DOUBLES_EQUAL(3, bucket.tokens, 1e-9);
    quota::refill(bucket, this->limit, this->start + 60s);
    DOUBLES_EQUAL(5, bucket.tokens, 1e-9);
}

TEST(QuotaBucket, TheTimeUntilATokenFollowsFromTheRate)
{
    const quota::Bucket bucket { .tokens = 0.5, .refilledAt = this->start };
    CHECK(quota::timeUntil(bucket, this->limit, 1) == 50ms);
    CHECK(quota::timeUntil(bucket, this->limit, 0.5) == 0ms);
    CHECK(quota::timeUntil(bucket, this->limit, 6) == Duration::max());
    CHECK(quota::timeUntil(bucket, { .perSecond = 0, .burst = 5 }, 1) == Duration::max());
}

// Each part is spent once, so together they stay within what the bound allows above the bucket.
TEST(QuotaBucket, ThePartsOfTheRoomStayWithinIt)
{
    for (const double perSecond : { 0.0, 1.0, 5.0, 28.0, 154.0, 5000.0 }) {
        const catalog::OperationLimit any { .perSecond = perSecond, .burst = perSecond };
        for (const std::size_t daemons : { 1U, 100U, 2300U }) {
            const auto total = quota::roomAbove(any, {});
            const auto room = quota::divideRoom(any, {}, daemons);
            const auto ahead = perSecond * std::chrono::duration<double>(room.grantLifetime).count();
            CHECK(ahead + quota::startsPerWindow * room.initialTokens + static_cast<double>(daemons) * room.isolatedTokens + room.announcedPerSecond * 5 <= total + 1e-6);
        }
    }
}
