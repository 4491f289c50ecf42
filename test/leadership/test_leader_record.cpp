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

    void recordProof(const char* upstream, group::Term term, Duration after) { this->recordProof(upstream, term, term, after); }

    void recordProof(const char* upstream, group::Term term, group::Term lastEntryTerm, Duration after)
    {
        this->record.confirm({ .upstream = upstream, .term = term, .lastEntryTerm = lastEntryTerm });
        this->record.recordProof({ .upstream = upstream, .point = { .term = lastEntryTerm, .position = 1 }, .at = this->start + after });
    }

    [[nodiscard]] std::string leader(const std::vector<PrimaryClaim>& claims) const
    {
        return std::string(this->record.leader(claims).value_or("none"));
    }
};

TEST(LeaderRecord, NewestClaimLeadsWithoutProof)
{
    CHECK_EQUAL(std::string("none"), this->leader({}));
    CHECK_EQUAL(std::string("b"), this->leader({ { "a", { .number = 5 }, this->start }, { "b", { .number = 9 }, this->start } }));
}

TEST(LeaderRecord, ProofOverridesOlderClaim)
{
    this->recordProof("b", 2, 1s);
    CHECK_EQUAL(std::string("b"), this->leader({ { "a", { .number = 5 }, this->start } }));
}

TEST(LeaderRecord, ClaimAfterProofLeads)
{
    this->recordProof("a", 1, 1s);
    CHECK_EQUAL(std::string("b"), this->leader({ { "a", { .number = 5 }, this->start }, { "b", { .number = 9 }, this->start + 2s } }));
}

TEST(LeaderRecord, IgnoresProofOfOlderTerm)
{
    this->recordProof("b", 2, 1s);
    this->recordProof("a", 1, 3s);
    CHECK_EQUAL(std::string("b"), this->leader({ { "a", { .number = 5 }, this->start } }));
}

TEST(LeaderRecord, RefusalExcludesUpstreamUntilNewProof)
{
    this->recordProof("a", 1, 1s);
    this->record.recordRefusal("a", this->start + 2s);
    CHECK_EQUAL(std::string("none"), this->leader({ { "a", { .number = 5 }, this->start } }));
    this->recordProof("a", 3, 3s);
    CHECK_EQUAL(std::string("a"), this->leader({ { "a", { .number = 5 }, this->start } }));
}

// Until the first commit of its term, a leader's last log entry belongs to an earlier term.
TEST(LeaderRecord, ConfirmationStartsAtTheTermOfTheLastEntry)
{
    this->record.confirm({ .upstream = "b", .term = 3, .lastEntryTerm = 1 });
    CHECK_TRUE(this->record.isConfirmed("b", 1));
    CHECK_TRUE(this->record.isConfirmed("b", 3));
    CHECK_FALSE(this->record.isConfirmed("b", 4));
    CHECK_FALSE(this->record.isConfirmed("a", 1));
}

// Regression: a former leader is promoted again, and its last log entry belongs to its own earlier term.
TEST(LeaderRecord, ConfirmsFormerLeaderAfterNewPromotion)
{
    this->recordProof("a", 1, 1s);
    this->recordProof("b", 2, 2s);
    CHECK_FALSE(this->record.isConfirmed("a", 1));
    this->record.confirm({ .upstream = "a", .term = 3, .lastEntryTerm = 1 });
    CHECK_TRUE(this->record.isConfirmed("a", 1));
    CHECK_TRUE(this->record.recordProof({ .upstream = "a", .point = { .term = 1, .position = 5 }, .at = this->start + 3s }));
    CHECK_EQUAL(std::string("a"), this->leader({}));
}

TEST(LeaderRecord, IgnoresConfirmationOfOlderTerm)
{
    this->record.confirm({ .upstream = "b", .term = 2, .lastEntryTerm = 2 });
    this->record.confirm({ .upstream = "a", .term = 1, .lastEntryTerm = 1 });
    CHECK_TRUE(this->record.isConfirmed("b", 2));
    CHECK_FALSE(this->record.isConfirmed("a", 1));
    LONGS_EQUAL(2, this->record.newestTerm());
}
