#include "amaranthhall/catalog/catalog.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(Catalog)
{
    catalog::Catalog subject;
    Time now { 100s };

    void put(const char* id, std::uint64_t version, catalog::Role role = catalog::Role::Replica, bool draining = false)
    {
        this->subject.put({ .id = id, .service = "s", .role = role, .draining = draining }, { .number = version }, this->now);
    }
};

TEST(Catalog, AnOlderConfigurationIsRejected)
{
    CHECK_TRUE(this->subject.apply({ .version = 7 }));
    CHECK_FALSE(this->subject.apply({ .version = 7 }));
    CHECK_FALSE(this->subject.apply({ .version = 3 }));
    LONGS_EQUAL(7, this->subject.configuration()->version);
    CHECK_TRUE(this->subject.apply({ .version = 12 }));
}

TEST(Catalog, AConfigurationThatLacksTheOrganisationsOfThePreviousOneRejectsAllKeys)
{
    CHECK_TRUE(this->subject.apply({ .version = 1 }));
    CHECK_FALSE(this->subject.configuration()->organisations.has_value());
    CHECK_TRUE(this->subject.apply({ .version = 2, .organisations = catalog::Organisations() }));
    CHECK_TRUE(this->subject.apply({ .version = 3 }));
    CHECK_TRUE(this->subject.configuration()->organisations.has_value());
}

TEST(Catalog, AnOlderVersionOfAnEntryIsDropped)
{
    this->put("a", 5, catalog::Role::Primary);
    this->put("a", 4, catalog::Role::Replica);
    CHECK(this->subject.find("a")->entry.role == catalog::Role::Primary);
}

TEST(Catalog, RoleVersionChangesOnlyWithTheRole)
{
    this->put("a", 5, catalog::Role::Primary);
    this->put("a", 9, catalog::Role::Primary, true);
    LONGS_EQUAL(5, this->subject.find("a")->roleVersion.number);
    this->put("a", 11, catalog::Role::Replica);
    LONGS_EQUAL(11, this->subject.find("a")->roleVersion.number);
}

TEST(Catalog, AMissingEntryIsKeptDuringTheGracePeriodAndCanReturn)
{
    this->put("a", 5);
    this->subject.markMissing("a", { .number = 6 }, this->now);
    CHECK_TRUE(this->subject.expire(this->now + 2s, this->now - 10s).empty());
    this->put("a", 7);
    CHECK_FALSE(this->subject.find("a")->missingSince.has_value());
    CHECK_TRUE(this->subject.expire(this->now + 60s, this->now - 10s).empty());
}

TEST(Catalog, AnEntryExpiresOnlyWhileTheStoreIsReachable)
{
    this->put("a", 5);
    this->subject.markMissing("a", { .number = 6 }, this->now);
    CHECK_TRUE(this->subject.expire(this->now + 60s, std::nullopt).empty());
    CHECK_TRUE(this->subject.expire(this->now + 60s, this->now + 59s).empty());
    LONGS_EQUAL(1, this->subject.expire(this->now + 62s, this->now + 59s).size());
    POINTERS_EQUAL(nullptr, this->subject.find("a"));
}

TEST(Catalog, DrainingSinceIsTheTimeOfTheFirstDrainingEntry)
{
    this->put("a", 5, catalog::Role::Primary, true);
    this->now += 1s;
    this->put("a", 6, catalog::Role::Replica, true);
    CHECK(this->subject.find("a")->drainingSince == this->now - 1s);
    this->put("a", 7);
    CHECK_FALSE(this->subject.find("a")->drainingSince.has_value());
}

TEST(Catalog, UpstreamsAreListedByService)
{
    this->put("b", 1);
    this->put("a", 2);
    this->subject.put({ .id = "c", .service = "other" }, { .number = 3 }, this->now);
    const auto listed = this->subject.upstreamsOf("s");
    LONGS_EQUAL(2, listed.size());
    CHECK_EQUAL(std::string("a"), listed[0]->entry.id);
    CHECK_EQUAL(std::string("b"), listed[1]->entry.id);
    LONGS_EQUAL(2, this->subject.services());
    // An id may be reused for another service.
    this->subject.put({ .id = "a", .service = "other" }, { .number = 4 }, this->now);
    LONGS_EQUAL(1, this->subject.upstreamsOf("s").size());
    LONGS_EQUAL(2, this->subject.upstreamsOf("other").size());
    this->subject.markMissing("b", { .number = 5 }, this->now);
    static_cast<void>(this->subject.expire(this->now + 10s, this->now));
    CHECK(this->subject.upstreamsOf("s").empty());
    LONGS_EQUAL(1, this->subject.services());
}

TEST(Catalog, LimitsVersionChangesOnlyWithTheLimits)
{
    this->subject.apply({ .version = 1, .services = { { "s", { .name = "s", .maximumConnections = 30 } } } });
    const auto before = this->subject.limitsVersion();
    this->subject.apply({ .version = 2, .services = { { "s", { .name = "s", .maximumConnections = 30 } } } });
    LONGS_EQUAL(before, this->subject.limitsVersion());
    this->subject.apply({ .version = 3, .services = { { "s", { .name = "s", .maximumConnections = 31 } } } });
    CHECK(before != this->subject.limitsVersion());
}

// The store was restored from a copy: its version numbers go back in a new era.
TEST_GROUP_BASE(CatalogAfterRestore, TEST_GROUP_CppUTestGroupCatalog) {
    void putRestored(std::uint64_t number, bool draining = false, std::uint64_t startedAt = 0) {
        this->subject.put({ .id = "a", .service = "s", .draining = draining, .startedAt = startedAt }, { .era = 1, .number = number }, this->now);
}
}
;

TEST(CatalogAfterRestore, ALowerNumberOfANewerEraIsApplied)
{
    this->put("a", 50);
    this->subject.put({ .id = "a", .service = "s", .role = catalog::Role::Primary }, { .era = 1, .number = 3 }, this->now);
    CHECK(this->subject.find("a")->entry.role == catalog::Role::Primary);
    this->put("a", 60);
    CHECK(this->subject.find("a")->entry.role == catalog::Role::Primary);
}

TEST(CatalogAfterRestore, AnUpstreamThatHadDepartedIsNotRestored)
{
    this->put("a", 50);
    this->subject.markMissing("a", { .number = 51 }, this->now);
    this->now += 10s;
    LONGS_EQUAL(1, this->subject.expire(this->now, this->now - 10s).size());
    this->putRestored(40);
    POINTERS_EQUAL(nullptr, this->subject.find("a"));
    // The store removes the entry because it is not renewed.
    this->subject.markMissing("a", { .era = 1, .number = 44 }, this->now + 2s);
    static_cast<void>(this->subject.expire(this->now + 6s, this->now - 10s));
    POINTERS_EQUAL(nullptr, this->subject.find("a"));
}

TEST(CatalogAfterRestore, AMissingUpstreamIsNotRestored)
{
    this->put("a", 50);
    this->subject.markMissing("a", { .number = 51 }, this->now);
    this->putRestored(40);
    CHECK_TRUE(this->subject.find("a")->missingSince.has_value());
}

TEST(CatalogAfterRestore, ARestoredEntryIsAcceptedIfRewrittenOrAfterTheDelay)
{
    this->put("a", 50);
    this->subject.markMissing("a", { .number = 51 }, this->now);
    this->putRestored(40);
    static_cast<void>(this->subject.expire(this->now + 1s, this->now - 10s));
    this->putRestored(43);
    CHECK_FALSE(this->subject.find("a")->missingSince.has_value());
    this->subject.markMissing("a", { .era = 1, .number = 45 }, this->now);
    this->subject.put({ .id = "a", .service = "s" }, { .era = 2, .number = 41 }, this->now);
    CHECK_TRUE(this->subject.find("a")->missingSince.has_value());
    static_cast<void>(this->subject.expire(this->now + 5s, std::nullopt));
    CHECK_FALSE(this->subject.find("a")->missingSince.has_value());
}

TEST(CatalogAfterRestore, ADrainingUpstreamKeepsDraining)
{
    this->put("a", 50, catalog::Role::Replica, true);
    this->putRestored(40);
    CHECK_TRUE(this->subject.find("a")->drainingSince.has_value());
    // A restarted process with the same id is a different upstream.
    this->putRestored(41, false, 99);
    CHECK_FALSE(this->subject.find("a")->drainingSince.has_value());
}

// The limit for a draining upstream counts from the store's confirmation, which a daemon may learn of late.
TEST(Catalog, ADrainingUpstreamCountsFromWhenItsEntryMayHaveChanged)
{
    this->subject.put({ .id = "a", .service = "s", .draining = true }, { .number = 1 }, this->now, 2s);
    CHECK(this->subject.find("a")->drainingSince == this->now - 2s);
}
