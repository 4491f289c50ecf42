#include "engine/session_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using engine::CommitInclusion;
using engine::inclusionOf;
using engine::ReplyCode;
using engine::RequestKind;

namespace {

class FixedCandidates final : public engine::PromotionCandidateSource {
public:
    [[nodiscard]] engine::PromotionCandidates candidatesOf(const std::string& service) override { return service == "s" ? this->known : engine::PromotionCandidates {}; }

    engine::PromotionCandidates known;
};

}

/// "r" may be promoted in place of "p", whose commits are confirmed once one replica has them.
TEST_GROUP_BASE(CommitGuard, engine::fakes::SessionFixture)
{
    std::unique_ptr<engine::CommitGuard> guard;
    FixedCandidates candidates;

    void setup() override
    {
        engine::fakes::SessionFixture::setup();
        this->applyReplicas(2, 1);
        this->guard = std::make_unique<engine::CommitGuard>(this->loop, this->testCatalog, *this->dispatcher, this->candidates);
        this->context->commitGuard = this->guard.get();
        this->links.upstreams["r"].isReplica = true;
        this->links.upstreams["p"].point = { .term = 1, .position = 20 };
        this->open("own");
        CHECK_TRUE(this->write().succeeded());
        this->candidates.known.upstreams = { "r" };
    }

    void applyReplicas(std::uint64_t version, std::uint32_t count)
    {
        auto fresh = engine::fakes::configuration();
        fresh.version = version;
        fresh.services["s"].synchronousReplicas = count;
        this->testCatalog.apply(std::move(fresh));
    }

    /// Lets the candidate receive a commit of the primary after some time.
    kernel::Registration receiveAfter(Duration delay, group::LogPoint end)
    {
        return this->loop.after(delay, [this, end] { this->links.upstreams["r"].point = end; });
    }
};

// Failure: commits that only another replica had received were acknowledged, and the promoted one did not have them.
TEST(CommitGuard, AWriteIsAcknowledgedOnceTheCandidateHasIt)
{
    const auto startedAt = this->loop.now();
    const auto received = this->receiveAfter(60ms, { .term = 1, .position = 20 });
    CHECK_TRUE(this->write().succeeded());
    CHECK(this->loop.now() - startedAt >= 60ms);
}

TEST(CommitGuard, ACommitThatTheCandidateLacksIsInDoubt)
{
    CHECK(this->write().code == ReplyCode::InDoubt);
    // The candidate leads a new term; whether its log has the commit is not known.
    const auto received = this->receiveAfter(60ms, { .term = 2, .position = 30 });
    const auto startedAt = this->loop.now();
    CHECK(this->write().code == ReplyCode::InDoubt);
    CHECK(this->loop.now() - startedAt < 200ms);
}

// Failure: of two upstreams that could still be promoted only the one announced last was waited for.
TEST(CommitGuard, ACommitThatOneOfTwoCandidatesLacksIsNotAcknowledged)
{
    this->links.upstreams["r"].point = { .term = 1, .position = 20 };
    this->candidates.known.upstreams = { "r", "unreachable" };
    CHECK(this->write().code == ReplyCode::InDoubt);
    this->candidates.known.upstreams = { "r" };
    CHECK_TRUE(this->write().succeeded());
}

// Failure: a commit waited for a candidate that was promoted without it, and was acknowledged when no order was pending any more.
TEST(CommitGuard, ACommitFromBeforeACandidateWasLetGoIsCheckedAtItsPrimary)
{
    const auto letGo = this->loop.after(60ms, [this] { this->candidates.known = { .unchangedSince = this->loop.now() }; });
    CHECK_TRUE(this->write().succeeded());
    this->candidates.known = { .upstreams = { "r" } };
    const auto promoted = this->loop.after(60ms, [this] {
        this->links.upstreams["p"].isReplica = true;
        this->candidates.known = { .unchangedSince = this->loop.now() };
    });
    CHECK(this->write().code == ReplyCode::InDoubt);
}

TEST(CommitGuard, ATransactionIsTreatedLikeAWrite)
{
    const auto commit = [this] {
        CHECK(this->ask(RequestKind::Begin, "BEGIN").succeeded());
        CHECK(this->write().succeeded());
        return this->ask(RequestKind::Commit, "COMMIT");
    };
    CHECK(commit().code == ReplyCode::InDoubt);
    const auto received = this->receiveAfter(60ms, { .term = 1, .position = 20 });
    CHECK_TRUE(commit().succeeded());
}

TEST(CommitGuard, ATransactionThatWroteNothingIsNotHeld)
{
    CHECK(this->ask(RequestKind::Begin, "BEGIN").succeeded());
    CHECK(this->read().succeeded());
    CHECK_TRUE(this->ask(RequestKind::Commit, "COMMIT").succeeded());
}

TEST(CommitGuard, AServiceWithoutSynchronousReplicasIsNotAffected)
{
    this->applyReplicas(3, 0);
    CHECK_FALSE(this->guard->mustHold("s", "p", this->loop.now()));
    CHECK_TRUE(this->write().succeeded());
}

TEST(CommitGuard, CommitsOfTheCandidateItselfAreNotHeld)
{
    const auto now = this->loop.now();
    CHECK_TRUE(this->guard->mustHold("s", "p", now));
    CHECK_FALSE(this->guard->mustHold("s", "r", now));
    CHECK_FALSE(this->guard->mustHold("other", "p", now));
}

TEST(CommitGuard, OnlyEntriesOfOneTermAreOrdered)
{
    const group::LogPoint commit { .term = 3, .position = 20 };
    CHECK(inclusionOf(commit, { .term = 3, .position = 20 }) == CommitInclusion::Included);
    CHECK(inclusionOf(commit, { .term = 3, .position = 19 }) == CommitInclusion::Pending);
    CHECK(inclusionOf(commit, { .term = 2, .position = 25 }) == CommitInclusion::Pending);
    CHECK(inclusionOf(commit, { .term = 4, .position = 25 }) == CommitInclusion::Unknown);
}
