#include "amaranthhall/table/edit.hpp"
#include "amaranthhall/table/table_json.hpp"
#include "table/sample_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

template <typename Type>
const Type* findAction(const table::EditActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Type>(&action))
            return found;
    }
    return nullptr;
}

std::vector<table::Voter> makeVoters(std::size_t count, std::size_t unheard = 0)
{
    std::vector<table::Voter> voters;
    for (std::size_t i = 1; i <= count; ++i)
        voters.push_back({ .id = "vm-" + std::to_string(i), .isHeard = i + unheard <= count });
    return voters;
}

}

TEST_GROUP(Edit)
{
    const Time start { 1000s };
    const table::TableImage inForce = table::sampleTable(7);
    table::Edit edit;

    void setup() override
    {
        auto wanted = inForce;
        wanted.upstreams[0].weight = 50;
        edit = table::beginEdit({ .editId = "e1", .expectedVersion = 7, .image = wanted }, {}, "vm-1", {}, start);
    }

    table::EditActions feed(const table::EditEvent& event, Duration at = 0s) { return table::step(edit, event, start + at); }

    [[nodiscard]] table::HeadRead headRead() const
    {
        return { .head = { .version = 7, .digest = table::digestTable(inForce) }, .rowVersion = 20, .inForce = inForce };
    }

    /// Takes the edit to where daemons are asked to confirm.
    table::EditActions stage(std::size_t voters, std::size_t unheard = 0)
    {
        CHECK(findAction<table::ReadHead>(feed(table::EditTick {})) != nullptr);
        CHECK(findAction<table::StoreImage>(feed(headRead())) != nullptr);
        CHECK(findAction<table::WriteHead>(feed(table::ImageStored {})) != nullptr);
        CHECK(findAction<table::HoldOwnStage>(feed(table::HeadWritten { .rowVersion = 21 })) != nullptr);
        return feed(table::VotersSeen { .voters = makeVoters(voters, unheard) });
    }

    table::EditActions confirm(std::size_t count, Duration at = 0s)
    {
        table::EditActions last;
        for (std::size_t i = 1; i <= count; ++i)
            last = feed(table::Confirmed { .voter = "vm-" + std::to_string(i) }, at);
        return last;
    }

    static const table::EditResult& resultOf(const table::EditActions& actions)
    {
        const auto* answer = findAction<table::Answer>(actions);
        CHECK(answer != nullptr);
        return answer->result;
    }
};

TEST(Edit, IsCommittedOnceAllHaveConfirmedAndAnsweredOnceAllHaveApplied)
{
    CHECK(findAction<table::SendStage>(stage(3))->voters.size() == 3);
    CHECK(findAction<table::WriteHead>(confirm(2)) == nullptr);
    const auto actions = confirm(3);
    const auto* commit = findAction<table::WriteHead>(actions);
    CHECK(commit != nullptr && commit->isCommit);
    LONGS_EQUAL(21, commit->expectedRowVersion);
    LONGS_EQUAL(8, commit->head.version);
    CHECK(findAction<table::SendDecision>(feed(table::HeadWritten { .rowVersion = 22 })) != nullptr);
    feed(table::Applied { .voter = "vm-1" });
    feed(table::Applied { .voter = "vm-2" });
    const auto done = feed(table::Applied { .voter = "vm-3" });
    CHECK(resultOf(done).outcome == table::EditOutcome::InForce);
    LONGS_EQUAL(8, resultOf(done).version);
}

TEST(Edit, AnUnexpectedVersionIsAConflictWithTheDifference)
{
    feed(table::EditTick {});
    auto read = headRead();
    read.head.version = 8;
    const auto done = feed(read);
    CHECK(resultOf(done).outcome == table::EditOutcome::Refused);
    STRCMP_EQUAL("version 8 is in force, not 7", resultOf(done).reason.c_str());
    LONGS_EQUAL(1, resultOf(done).differences.size());
}

TEST(Edit, TheSecondOfTwoOperatorsIsToldOfTheFirst)
{
    feed(table::EditTick {});
    auto read = headRead();
    read.head.staged = table::StageInfo { .number = 20, .version = 8, .editId = "e0", .editor = "vm-9" };
    read.isRivalAlive = true;
    STRCMP_EQUAL("edit e0 is under way on vm-9", resultOf(feed(read)).reason.c_str());
}

TEST(Edit, AStageOfALostEditorIsReplacedAfterTheBound)
{
    feed(table::EditTick {});
    auto read = headRead();
    read.head.staged = table::StageInfo { .number = 20, .version = 8, .editId = "e0", .editor = "vm-9" };
    CHECK(feed(read).empty());
    CHECK(findAction<table::ReadHead>(feed(table::EditTick {}, 3s)) != nullptr);
    CHECK(findAction<table::StoreImage>(feed(read, 3s)) != nullptr);
}

TEST(Edit, ALostAnswerToTheCommitIsResolvedByTheSameRequest)
{
    stage(1);
    const auto first = confirm(1);
    feed(table::HeadWritten { .answer = table::StoreAnswer::Unknown }, 1s);
    const auto second = feed(table::EditTick {}, 2s);
    STRCMP_EQUAL(findAction<table::WriteHead>(first)->requestId.c_str(), findAction<table::WriteHead>(second)->requestId.c_str());
    feed(table::HeadWritten { .rowVersion = 22 }, 2s);
    CHECK(resultOf(feed(table::Applied { .voter = "vm-1" }, 2s)).outcome == table::EditOutcome::InForce);
}

TEST(Edit, AStoreThatDoesNotAnswerTheCommitLeavesTheOutcomeUnknownAndIsAskedOn)
{
    stage(1);
    confirm(1);
    feed(table::HeadWritten { .answer = table::StoreAnswer::Unknown }, 1s);
    feed(table::EditTick {}, 2s);
    feed(table::HeadWritten { .answer = table::StoreAnswer::Unavailable }, 12s);
    const auto told = feed(table::EditTick {}, edit.options.answerDeadline + 1s);
    CHECK(resultOf(told).outcome == table::EditOutcome::Unknown);
    STRCMP_CONTAINS("--edit-id e1", resultOf(told).reason.c_str());
    CHECK(!table::isPending(edit));
    feed(table::HeadWritten { .answer = table::StoreAnswer::Unavailable }, 17s);
    CHECK(findAction<table::WriteHead>(feed(table::EditTick {}, 20s)) != nullptr);
    CHECK(findAction<table::EnforceOwn>(feed(table::HeadWritten { .rowVersion = 22 }, 60s)) != nullptr);
}

TEST(Edit, AStoreThatNeverTookTheCommitLeavesTheEditRefused)
{
    stage(1);
    confirm(1);
    feed(table::HeadWritten { .answer = table::StoreAnswer::Unavailable }, 1s);
    const auto actions = feed(table::EditTick {}, edit.options.answerDeadline + 1s);
    CHECK(resultOf(actions).outcome == table::EditOutcome::Refused);
    CHECK(findAction<table::WithdrawOwn>(actions) != nullptr);
}

TEST(Edit, ASilentDaemonThatIsNotHeardIsPassedOnlyAfterItsLeaseAndDrift)
{
    stage(3, 1);
    confirm(2, 1s);
    CHECK(feed(table::VotersSeen { .voters = makeVoters(3, 1) }, 5s + 100ms).empty());
    const auto actions = feed(table::VotersSeen { .voters = makeVoters(3, 1) }, 5s + 201ms);
    CHECK(findAction<table::WriteHead>(actions)->isCommit);
}

TEST(Edit, ASilentDaemonThatIsHeardRefusesTheEdit)
{
    stage(3);
    confirm(2);
    CHECK(feed(table::VotersSeen { .voters = makeVoters(3) }, 8s).empty());
    const auto actions = feed(table::EditTick {}, 11s);
    STRCMP_CONTAINS("no confirmation from vm-3", resultOf(actions).reason.c_str());
    CHECK(!findAction<table::WriteHead>(actions)->isCommit);
}

TEST(Edit, WithoutAMajorityItIsRefused)
{
    stage(5, 3);
    confirm(2);
    STRCMP_CONTAINS("only 2 of 5 daemons confirmed; no answer from vm-3, vm-4, vm-5", resultOf(feed(table::EditTick {}, 4s)).reason.c_str());
}

TEST(Edit, ADaemonThatJoinsMeanwhileMustConfirmToo)
{
    stage(2);
    confirm(1);
    CHECK(findAction<table::SendStage>(feed(table::VotersSeen { .voters = makeVoters(3) }))->voters == std::vector<std::string> { "vm-3" });
    CHECK(findAction<table::WriteHead>(confirm(2)) == nullptr);
    CHECK(findAction<table::WriteHead>(confirm(3)) != nullptr);
}

TEST(Edit, AnEditThatIsOvertakenIsRefusedWhole)
{
    stage(1);
    confirm(1);
    CHECK(findAction<table::ReadHead>(feed(table::HeadWritten { .answer = table::StoreAnswer::Conflict })) != nullptr);
    const auto actions = feed(headRead());
    CHECK(resultOf(actions).outcome == table::EditOutcome::Refused);
    CHECK(findAction<table::WithdrawOwn>(actions) != nullptr);
}

TEST(Edit, AskingAgainForACommittedEditTellsItsVersion)
{
    feed(table::EditTick {});
    auto read = headRead();
    read.head.version = 9;
    read.committedAs = 8;
    const auto done = feed(read);
    CHECK(resultOf(done).outcome == table::EditOutcome::InForce);
    LONGS_EQUAL(8, resultOf(done).version);
}

TEST(Edit, AStoreThatIsDownRefusesBeforeAnythingIsStaged)
{
    feed(table::EditTick {});
    feed(table::HeadReadFailed {}, 1s);
    CHECK(resultOf(feed(table::EditTick {}, edit.options.storeDeadline + 1s)).outcome == table::EditOutcome::Refused);
}
