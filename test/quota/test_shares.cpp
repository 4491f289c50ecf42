#include "amaranthhall/quota/holder.hpp"
#include "amaranthhall/quota/shares.hpp"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(QuotaShares)
{
    static constexpr std::size_t daemons = 95;
    const catalog::OperationLimit limit { .perSecond = 26, .burst = 26 };
    const quota::Room room { quota::divideRoom(this->limit, {}, daemons) };
    const Time now { 100s };
    quota::Shares shares;

    std::optional<quota::Share> announce(const std::string& vm, double demand, Time at)
    {
        return quota::announceShare(this->shares, vm, demand, this->limit, this->room, true, at);
    }

    /// Announces to all daemons, three times, as the first ones are announced before the demand of the others is known.
    double announceToAll(double demandOfAll, std::vector<quota::Share>& announced)
    {
        double sum = 0;
        for (const auto at : { this->now - 5s, this->now - 1s, this->now }) {
            quota::reserveShares(this->shares, this->limit, this->room, at);
            announced.clear();
            sum = 0;
            for (std::size_t vm = 0; vm < daemons; ++vm) {
                announced.push_back(this->announce(std::to_string(vm), demandOfAll / daemons, at).value());
                sum += announced.back().perSecond;
            }
        }
        return sum;
    }
};

// Guards against the refusals of daemons that reach no owner although their callers ask for little: the headroom was divided by the number of daemons.
TEST(QuotaShares, CutOffDaemonsServeTheirDemandWhileMostOfTheLimitIsUnused)
{
    // A tenth of what is allowed, of one daemon, beside as much of two others.
    const auto demand = this->limit.perSecond / 10;
    std::vector<quota::Share> announced;
    for (const auto at : { this->now - 3s, this->now - 2s, this->now - 1s, this->now }) {
        quota::reserveShares(this->shares, this->limit, this->room, at);
        for (const auto* vm : { "b", "c", "a" })
            announced.push_back(this->announce(vm, demand, at).value());
    }
    quota::HeldTokens held;
    held.share = announced.back();
    held.shareUntil = this->now + announced.back().lifetime;
    std::mt19937 random(7);
    int asked = 0;
    int admitted = 0;
    int admittedBefore = 0;
    quota::HeldTokens without;
    for (auto at = this->now; at < this->now + 4900ms; at += 5ms) {
        if (std::generate_canonical<double, 32>(random) >= demand * 0.005)
            continue;
        ++asked;
        admitted += quota::takeIsolated(held, this->room, {}, 0.5, at) ? 1 : 0;
        admittedBefore += quota::takeIsolated(without, this->room, {}, 0.5, at) ? 1 : 0;
    }
    CHECK(asked >= 8);
    LONGS_EQUAL(0, admittedBefore);
    CHECK(admitted * 10 >= asked * 8);
}

TEST(QuotaShares, AnnouncedSharesCountAsUsed)
{
    std::vector<quota::Share> announced;
    const auto sum = this->announceToAll(2.6, announced);
    CHECK(sum <= this->limit.perSecond * quota::maximumLent + this->room.announcedPerSecond + 1e-9);
    const auto left = quota::limitBesideShares(this->shares, this->limit, this->room, this->now);
    CHECK(left.perSecond <= this->limit.perSecond - (sum - this->room.announcedPerSecond) + 1e-9);
    // All of them expire if nothing is announced again.
    DOUBLES_EQUAL(26, quota::limitBesideShares(this->shares, this->limit, this->room, this->now + 1s + quota::shareLifetime).perSecond, 1e-9);
}

TEST(QuotaShares, ALimitInFullUseIsNotLent)
{
    std::vector<quota::Share> announced;
    const auto sum = this->announceToAll(40, announced);
    CHECK(sum <= this->room.announcedPerSecond + 1e-9);
}

// The datagram with a smaller share may be lost, and the holder then uses the larger one.
TEST(QuotaShares, ALargerShareCountsUntilItExpires)
{
    for (const auto at : { this->now - 9s, this->now - 8s }) {
        static_cast<void>(this->announce("a", 2, at));
        quota::reserveShares(this->shares, this->limit, this->room, at);
    }
    const auto large = this->announce("a", 2, this->now)->perSecond;
    const auto small = this->announce("a", 0.1, this->now + 1s)->perSecond;
    CHECK(small < large);
    DOUBLES_EQUAL(large, quota::lentNow(this->shares, this->limit, this->now + 4s).perSecond, 1e-9);
    DOUBLES_EQUAL(small, quota::lentNow(this->shares, this->limit, this->now + 5500ms).perSecond, 1e-9);
}

TEST(QuotaShares, ANewOwnerLeavesEarlierSharesUnused)
{
    quota::noteUnknownShares(this->shares, this->now);
    DOUBLES_EQUAL(26 * (1 - quota::maximumLent), quota::limitBesideShares(this->shares, this->limit, this->room, this->now + 4s).perSecond, 1e-9);
    CHECK_FALSE(this->announce("a", 2, this->now + 4s).has_value());
    CHECK_TRUE(this->announce("a", 2, this->now + 5s).has_value());
    CHECK_FALSE(quota::announceShare(this->shares, "b", 2, this->limit, this->room, false, this->now + 6s).has_value()); // without votes
}
