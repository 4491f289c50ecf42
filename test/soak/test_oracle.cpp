#include "amaranthhall/soak/oracle.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using soak::CommittedWrite;
using soak::Fate;

TEST_GROUP(Oracle)
{
    soak::Oracle oracle;
    Time start { 100s };
    std::vector<CommittedWrite> commits { { "x", "one" }, { "x", "two" }, { "x", "three" } };

    void acknowledge(const char* data, Duration after, const char* session = "s") { this->oracle.noteWrite("g", session, "x", data, Fate::Acknowledged, this->start + after); }

    [[nodiscard]] bool isStale(const char* shown, Duration startedAfter, Duration allowance = 0s, const char* session = "") const
    {
        return this->oracle.checkRead({ .group = "g", .item = "x", .data = shown, .startedAt = this->start + startedAfter, .allowance = allowance, .session = session }, this->commits).has_value();
    }
};

TEST(Oracle, AReadThatLacksAnAcknowledgedWriteIsStale)
{
    this->acknowledge("two", 1s);
    CHECK_TRUE(this->isStale("one", 2s));
    CHECK_TRUE(this->isStale("none", 2s));
    CHECK_FALSE(this->isStale("two", 2s));
    CHECK_FALSE(this->isStale("three", 2s));
    CHECK_FALSE(this->isStale("one", 500ms));
}

TEST(Oracle, AnAllowanceExcusesYoungWritesOfOthersOnly)
{
    this->acknowledge("two", 1s);
    CHECK_FALSE(this->isStale("one", 2s, 1500ms));
    CHECK_TRUE(this->isStale("one", 3s, 1500ms));
    CHECK_TRUE(this->isStale("one", 2s, 1500ms, "s"));
    CHECK_FALSE(this->isStale("one", 2s, 1500ms, "other"));
}

TEST(Oracle, AWriteThatAPromotionDroppedBindsNoRead)
{
    this->acknowledge("two", 1s);
    this->commits[1].isRolledBack = true;
    CHECK_FALSE(this->isStale("one", 2s));
}

TEST(Oracle, DoubledKeptAndInventedWritesAreFound)
{
    this->oracle.noteWrite("g", "s", "x", "one", Fate::Refused, this->start);
    this->acknowledge("two", 0s);
    this->acknowledge("lost", 0s);
    this->commits = { { "x", "one" }, { "x", "two" }, { "x", "two" }, { "x", "odd" } };
    const auto wrong = this->oracle.checkWrites("g", this->commits);
    LONGS_EQUAL(4, wrong.size());
}

TEST(Oracle, AnAcknowledgedWriteThatAPromotionDroppedIsFound)
{
    this->acknowledge("two", 0s);
    this->oracle.noteWrite("g", "s", "x", "three", Fate::Unknown, this->start);
    CHECK_TRUE(this->oracle.checkKept("g", this->commits).empty());
    this->commits[1].isRolledBack = this->commits[2].isRolledBack = true;
    LONGS_EQUAL(1, this->oracle.checkKept("g", this->commits).size());
    CHECK_TRUE(this->oracle.checkKept("other", this->commits).empty());
}

TEST(Oracle, AnUnknownFateIsNoFault)
{
    this->oracle.noteWrite("g", "s", "x", "one", Fate::Unknown, this->start);
    this->oracle.noteWrite("g", "s", "x", "never", Fate::Unknown, this->start);
    this->commits = { { "x", "one" } };
    CHECK_TRUE(this->oracle.checkWrites("g", this->commits).empty());
}
