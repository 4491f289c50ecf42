#include "amaranthhall/catalog/catalog.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(Catalog)
{
    catalog::Catalog known;
    Time now { 100s };

    void put(const char* id, std::uint64_t version, catalog::Role role = catalog::Role::Replica, bool draining = false)
    {
        this->known.put({ .id = id, .service = "s", .role = role, .draining = draining }, { .number = version }, this->now);
    }
};

TEST(Catalog, AConfigurationNeverGoesBack)
{
    CHECK_TRUE(this->known.apply({ .version = 7 }));
    CHECK_FALSE(this->known.apply({ .version = 7 }));
    CHECK_FALSE(this->known.apply({ .version = 3 }));
    LONGS_EQUAL(7, this->known.configuration()->version);
    CHECK_TRUE(this->known.apply({ .version = 12 }));
}

TEST(Catalog, AnOlderCopyOfAnEntryIsDropped)
{
    this->put("a", 5, catalog::Role::Primary);
    this->put("a", 4, catalog::Role::Replica);
    CHECK(this->known.find("a")->entry.role == catalog::Role::Primary);
}

TEST(Catalog, TheVersionOfARoleChangesWithTheRoleOnly)
{
    this->put("a", 5, catalog::Role::Primary);
    this->put("a", 9, catalog::Role::Primary, true);
    LONGS_EQUAL(5, this->known.find("a")->roleVersion.number);
    this->put("a", 11, catalog::Role::Replica);
    LONGS_EQUAL(11, this->known.find("a")->roleVersion.number);
}

TEST(Catalog, AMissingEntryIsUsedForAWhileAndComesBack)
{
    this->put("a", 5);
    this->known.markMissing("a", { .number = 6 }, this->now);
    CHECK_TRUE(this->known.expire(this->now + 2s, this->now - 10s).empty());
    this->put("a", 7);
    CHECK_FALSE(this->known.find("a")->missingSince.has_value());
    CHECK_TRUE(this->known.expire(this->now + 60s, this->now - 10s).empty());
}

TEST(Catalog, AnEntryIsGoneOnlyAfterTheGraceOfAReachableStore)
{
    this->put("a", 5);
    this->known.markMissing("a", { .number = 6 }, this->now);
    CHECK_TRUE(this->known.expire(this->now + 60s, std::nullopt).empty());
    CHECK_TRUE(this->known.expire(this->now + 60s, this->now + 59s).empty());
    LONGS_EQUAL(1, this->known.expire(this->now + 62s, this->now + 59s).size());
    POINTERS_EQUAL(nullptr, this->known.find("a"));
}

TEST(Catalog, DrainingIsRememberedFromItsFirstWord)
{
    this->put("a", 5, catalog::Role::Primary, true);
    this->now += 1s;
    this->put("a", 6, catalog::Role::Replica, true);
    CHECK(this->known.find("a")->drainingSince == this->now - 1s);
    this->put("a", 7);
    CHECK_FALSE(this->known.find("a")->drainingSince.has_value());
}

TEST(Catalog, UpstreamsAreListedByService)
{
    this->put("b", 1);
    this->put("a", 2);
    this->known.put({ .id = "c", .service = "other" }, { .number = 3 }, this->now);
    const auto listed = this->known.upstreamsOf("s");
    LONGS_EQUAL(2, listed.size());
    CHECK_EQUAL(std::string("a"), listed[0]->entry.id);
    CHECK_EQUAL(std::string("b"), listed[1]->entry.id);
    LONGS_EQUAL(2, this->known.services());
    // An id may be used again by another service.
    this->known.put({ .id = "a", .service = "other" }, { .number = 4 }, this->now);
    LONGS_EQUAL(1, this->known.upstreamsOf("s").size());
    LONGS_EQUAL(2, this->known.upstreamsOf("other").size());
    this->known.markMissing("b", { .number = 5 }, this->now);
    static_cast<void>(this->known.expire(this->now + 10s, this->now));
    CHECK(this->known.upstreamsOf("s").empty());
    LONGS_EQUAL(1, this->known.services());
}

TEST(Catalog, LimitsHaveAVersionOfTheirOwn)
{
    this->known.apply({ .version = 1, .services = { { "s", { .name = "s", .maximumConnections = 30 } } } });
    const auto before = this->known.limitsVersion();
    this->known.apply({ .version = 2, .services = { { "s", { .name = "s", .maximumConnections = 30 } } } });
    LONGS_EQUAL(before, this->known.limitsVersion());
    this->known.apply({ .version = 3, .services = { { "s", { .name = "s", .maximumConnections = 31 } } } });
    CHECK(before != this->known.limitsVersion());
}

// The store came back from a copy: its numbers start anew, in a new era.
TEST_GROUP_BASE(CatalogOfACopy, TEST_GROUP_CppUTestGroupCatalog) {
    void putOfCopy(std::uint64_t number, bool draining = false, std::uint64_t startedAt = 0) {
        this->known.put({ .id = "a", .service = "s", .draining = draining, .startedAt = startedAt }, { .era = 1, .number = number }, this->now);
}
}
;

TEST(CatalogOfACopy, ALowerNumberOfANewerEraCounts)
{
    this->put("a", 50);
    this->known.put({ .id = "a", .service = "s", .role = catalog::Role::Primary }, { .era = 1, .number = 3 }, this->now);
    CHECK(this->known.find("a")->entry.role == catalog::Role::Primary);
    this->put("a", 60);
    CHECK(this->known.find("a")->entry.role == catalog::Role::Primary);
}

TEST(CatalogOfACopy, AnUpstreamThatHadLeftIsNotUsedAgain)
{
    this->put("a", 50);
    this->known.markMissing("a", { .number = 51 }, this->now);
    this->now += 10s;
    LONGS_EQUAL(1, this->known.expire(this->now, this->now - 10s).size());
    this->putOfCopy(40);
    POINTERS_EQUAL(nullptr, this->known.find("a"));
    // The store drops the entry, as nobody renews it.
    this->known.markMissing("a", { .era = 1, .number = 44 }, this->now + 2s);
    static_cast<void>(this->known.expire(this->now + 6s, this->now - 10s));
    POINTERS_EQUAL(nullptr, this->known.find("a"));
}

TEST(CatalogOfACopy, AnUpstreamThatIsGoneForAMomentIsNotBackByTheCopy)
{
    this->put("a", 50);
    this->known.markMissing("a", { .number = 51 }, this->now);
    this->putOfCopy(40);
    CHECK_TRUE(this->known.find("a")->missingSince.has_value());
}

TEST(CatalogOfACopy, OneThatRegistersAgainOrStandsForLongIsAlive)
{
    this->put("a", 50);
    this->known.markMissing("a", { .number = 51 }, this->now);
    this->putOfCopy(40);
    static_cast<void>(this->known.expire(this->now + 1s, this->now - 10s));
    this->putOfCopy(43);
    CHECK_FALSE(this->known.find("a")->missingSince.has_value());
    this->known.markMissing("a", { .era = 1, .number = 45 }, this->now);
    this->known.put({ .id = "a", .service = "s" }, { .era = 2, .number = 41 }, this->now);
    CHECK_TRUE(this->known.find("a")->missingSince.has_value());
    static_cast<void>(this->known.expire(this->now + 5s, std::nullopt));
    CHECK_FALSE(this->known.find("a")->missingSince.has_value());
}

TEST(CatalogOfACopy, AnUpstreamThatIsLeavingGoesOnLeaving)
{
    this->put("a", 50, catalog::Role::Replica, true);
    this->putOfCopy(40);
    CHECK_TRUE(this->known.find("a")->drainingSince.has_value());
    // A new process under the same id is another upstream.
    this->putOfCopy(41, false, 99);
    CHECK_FALSE(this->known.find("a")->drainingSince.has_value());
}
