#include "amaranthhall/upstream/confirm_state.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace amaranthhall::upstream;
using namespace std::chrono_literals;

namespace {

constexpr auto start = Time(1h);

group::UpstreamStatus makeStatus(group::Term term, group::LogPoint last)
{
    return { .role = group::Role::Replica, .term = term, .last = last, .applied = last.position };
}

}

TEST_GROUP(ConfirmState)
{
    ConfirmState state { .writes = {}, .replicas = { {}, {} } };

    void add(std::uint64_t id, group::Position position)
    {
        this->state.writes.push_back({ .id = id, .term = 3, .record = { 3, position }, .deadline = start + 1s });
    }
};

TEST(ConfirmState, OnePollCoversAllWritesSoFar)
{
    this->add(1, 10);
    this->add(2, 11);
    const auto polls = planPolls(this->state, start);
    CHECK_EQUAL(1U, polls.size());
    CHECK_EQUAL(10U, polls[0].position);
    CHECK_EQUAL(0U, planPolls(this->state, start).size());
    const auto outcomes = takeAnswer(this->state, 0, makeStatus(3, { 3, 11 }), start + 1ms);
    CHECK_EQUAL(2U, outcomes.size());
    CHECK(outcomes[0].confirmation == Confirmation::Confirmed);
    CHECK(this->state.writes.empty());
}

TEST(ConfirmState, ALaterWriteIsAskedOfTheOtherReplicaWithoutWaiting)
{
    this->add(1, 10);
    CHECK_EQUAL(1U, planPolls(this->state, start).size());
    this->add(2, 11);
    const auto polls = planPolls(this->state, start + 100us);
    CHECK_EQUAL(1U, polls.size());
    CHECK_EQUAL(1U, polls[0].replica);
    CHECK_EQUAL(11U, polls[0].position);
}

TEST(ConfirmState, ASilentReplicaIsNotWaitedFor)
{
    this->add(1, 10);
    CHECK_EQUAL(1U, planPolls(this->state, start).size());
    CHECK_EQUAL(0U, planPolls(this->state, start + 5ms).size());
    const auto polls = planPolls(this->state, start + 10ms);
    CHECK_EQUAL(1U, polls.size());
    CHECK_EQUAL(1U, polls[0].replica);
    CHECK_EQUAL(10U, polls[0].position);
}

TEST(ConfirmState, AFailedPollMovesOnToTheOtherReplica)
{
    this->add(1, 10);
    CHECK_EQUAL(0U, planPolls(this->state, start)[0].replica);
    CHECK(takeAnswer(this->state, 0, std::nullopt, start + 1ms).empty());
    CHECK_EQUAL(1U, planPolls(this->state, start + 1ms)[0].replica);
}

TEST(ConfirmState, AHigherTermSupersedesAtOnce)
{
    this->add(1, 10);
    CHECK_EQUAL(1U, planPolls(this->state, start).size());
    const auto outcomes = takeAnswer(this->state, 0, makeStatus(4, { 4, 12 }), start + 1ms);
    CHECK_EQUAL(1U, outcomes.size());
    CHECK(outcomes[0].confirmation == Confirmation::Superseded);
    this->add(2, 11);
    CHECK(takeTerm(this->state, 3).empty());
    CHECK(takeTerm(this->state, 4)[0].confirmation == Confirmation::Superseded);
}

TEST(ConfirmState, OnlyALogOfTheWritesTermProvesThatItIsHeld)
{
    const PendingWrite write { .term = 4, .record = { 4, 96 } };
    CHECK(provesHeld(makeStatus(4, { 4, 96 }), write));
    CHECK(!provesHeld(makeStatus(4, { 4, 95 }), write));
    CHECK(!provesHeld(makeStatus(4, { 3, 100 }), write)); // fenced with an old tail, not fed yet
    CHECK(!provesHeld(makeStatus(3, { 3, 100 }), write));
    CHECK(!provesHeld(makeStatus(5, { 4, 96 }), write));
}

TEST(ConfirmState, AWriteThatChangedNothingIsHeldByWhoHasTheSameLastRecord)
{
    const PendingWrite write { .term = 4, .record = { 3, 90 } };
    CHECK(provesHeld(makeStatus(4, { 3, 90 }), write));
    CHECK(provesHeld(makeStatus(4, { 4, 91 }), write));
    CHECK(!provesHeld(makeStatus(4, { 3, 91 }), write));
    CHECK(!provesHeld(makeStatus(3, { 3, 90 }), write));
}

TEST(ConfirmState, AWriteIsAnsweredAtItsDeadline)
{
    this->add(1, 10);
    CHECK(expireWrites(this->state, start + 999ms).empty());
    CHECK(expireWrites(this->state, start + 1s)[0].confirmation == Confirmation::TimedOut);
    CHECK(this->state.writes.empty());
}

TEST(ConfirmState, AFruitlessAnswerIsNotRepeatedInATightLoop)
{
    this->add(1, 96);
    CHECK_EQUAL(1U, planPolls(this->state, start).size());
    CHECK(takeAnswer(this->state, 0, makeStatus(3, { 2, 100 }), start + 100us).empty());
    const auto polls = planPolls(this->state, start + 200us);
    CHECK_EQUAL(1U, polls.size());
    CHECK_EQUAL(1U, polls[0].replica);
}
