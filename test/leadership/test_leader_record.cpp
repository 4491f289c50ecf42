#include "amaranthhall/leadership/leader_record.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;
using leadership::PrimaryClaim;

TEST_GROUP(LeaderRecord)
{
    leadership::LeaderRecord record;
    Time start { 100s };

    void prove(const char* upstream, group::Term term, Duration after) { this->record.prove({ .upstream = upstream, .point = { .term = term, .position = 1 }, .at = this->start + after }); }

    [[nodiscard]] std::string leader(const std::vector<PrimaryClaim>& claims) const
    {
        return std::string(this->record.leader(claims).value_or("none"));
    }
};

TEST(LeaderRecord, WithoutEvidenceTheNewestClaimCounts)
{
    CHECK_EQUAL(std::string("none"), this->leader({}));
    CHECK_EQUAL(std::string("b"), this->leader({ { "a", 5, this->start }, { "b", 9, this->start } }));
}

TEST(LeaderRecord, EvidenceGoesBeforeAnOlderClaim)
{
    this->prove("b", 2, 1s);
    CHECK_EQUAL(std::string("b"), this->leader({ { "a", 5, this->start } }));
}

TEST(LeaderRecord, AClaimAfterTheEvidenceTellsOfAPromotion)
{
    this->prove("a", 1, 1s);
    CHECK_EQUAL(std::string("b"), this->leader({ { "a", 5, this->start }, { "b", 9, this->start + 2s } }));
}

TEST(LeaderRecord, EvidenceOfAnOlderTermIsDropped)
{
    this->prove("b", 2, 1s);
    this->prove("a", 1, 3s);
    CHECK_EQUAL(std::string("b"), this->leader({ { "a", 5, this->start } }));
}

TEST(LeaderRecord, OneThatRefusedIsNoLeaderUntilNewEvidence)
{
    this->prove("a", 1, 1s);
    this->record.refute("a", this->start + 2s);
    CHECK_EQUAL(std::string("none"), this->leader({ { "a", 5, this->start } }));
    this->prove("a", 3, 3s);
    CHECK_EQUAL(std::string("a"), this->leader({ { "a", 5, this->start } }));
}
