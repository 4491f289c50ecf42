#include "amaranthhall/table/edit_steps.hpp"

#include "amaranthhall/table/table_json.hpp"

#include <algorithm>

namespace amaranthhall::table::internal {

namespace {

    constexpr std::size_t namedVoters = 5;

    std::string listNames(const std::vector<std::string>& names)
    {
        std::string text;
        for (std::size_t i = 0; i < std::min(names.size(), namedVoters); ++i)
            text += (i == 0 ? "" : ", ") + names[i];
        if (names.size() > namedVoters)
            text += " and " + std::to_string(names.size() - namedVoters) + " more";
        return text;
    }

    std::vector<std::string> missing(const std::map<std::string, bool, std::less<>>& answers)
    {
        std::vector<std::string> names;
        for (const auto& [name, answered] : answers) {
            if (!answered)
                names.push_back(name);
        }
        return names;
    }

    std::vector<std::string> listVoters(const Edit& edit)
    {
        std::vector<std::string> names;
        for (const auto& [name, confirmed] : edit.voters)
            names.push_back(name);
        return names;
    }

    std::size_t countConfirmed(const Edit& edit)
    {
        return static_cast<std::size_t>(std::count_if(edit.voters.begin(), edit.voters.end(), [](const auto& voter) { return voter.second; }));
    }

    bool hasMajority(const Edit& edit)
    {
        return countConfirmed(edit) * 2 > edit.voters.size();
    }

    StageInfo describeStage(const Edit& edit)
    {
        return { .number = edit.number, .version = edit.request.image.version, .digest = edit.digest, .editId = edit.request.editId, .editor = edit.editor, .editorAddress = edit.editorAddress };
    }

    void commitIfAllConfirmed(Edit& edit, EditActions& actions)
    {
        if (countConfirmed(edit) < edit.voters.size())
            return;
        edit.phase = EditPhase::Committing;
        writeCommit(edit, actions);
    }

    Duration leaseWithDrift(const EditOptions& options)
    {
        return std::chrono::duration_cast<Duration>(options.lease * (1 + options.clockDrift));
    }

    void answerInForce(Edit& edit, EditActions& actions)
    {
        answer(edit, actions, { .outcome = EditOutcome::InForce, .version = edit.request.image.version, .notReached = missing(edit.applied) });
    }

}

void answer(Edit& edit, EditActions& actions, EditResult result)
{
    if (edit.isAnswered)
        return;
    edit.isAnswered = true;
    actions.emplace_back(Answer { .result = std::move(result) });
}

void writeStage(Edit& edit, EditActions& actions)
{
    edit.phase = EditPhase::Staging;
    edit.isWaiting = true;
    edit.digest = digestTable(edit.request.image);
    auto head = edit.head;
    head.staged = describeStage(edit);
    actions.emplace_back(WriteHead {
        .requestId = edit.request.editId + "/stage/" + std::to_string(edit.rowVersion) + "/" + edit.digest,
        .head = std::move(head),
        .expectedRowVersion = edit.rowVersion,
    });
}

void writeCommit(Edit& edit, EditActions& actions)
{
    edit.isWaiting = true;
    actions.emplace_back(WriteHead {
        .requestId = edit.request.editId + "/commit/" + std::to_string(edit.number),
        .isCommit = true,
        .head = { .version = edit.request.image.version, .digest = edit.digest },
        .expectedRowVersion = edit.number,
    });
}

void withdraw(Edit& edit, EditActions& actions)
{
    edit.phase = EditPhase::Finished;
    if (edit.number == 0)
        return;
    actions.emplace_back(WithdrawOwn {});
    actions.emplace_back(SendDecision { .voters = listVoters(edit) });
}

void abort(Edit& edit, EditActions& actions, std::string reason)
{
    if (edit.number > 0) {
        auto head = edit.head;
        head.staged.reset();
        actions.emplace_back(WriteHead { .requestId = edit.request.editId + "/abort/" + std::to_string(edit.number), .head = std::move(head), .expectedRowVersion = edit.number });
    }
    withdraw(edit, actions);
    answer(edit, actions, { .outcome = EditOutcome::Refused, .version = edit.request.expectedVersion, .reason = std::move(reason) });
}

void beginConfirming(Edit& edit, EditActions& actions, Time now)
{
    edit.phase = EditPhase::Confirming;
    edit.number = edit.rowVersion;
    edit.decidedAt = now;
    edit.retryAt = now;
    actions.emplace_back(HoldOwnStage { .info = describeStage(edit) });
}

void takeVoters(Edit& edit, EditActions& actions, const std::vector<Voter>& voters, Time now)
{
    if (edit.phase != EditPhase::Confirming)
        return;
    std::vector<std::string> fresh;
    for (const auto& voter : voters) {
        if (edit.voters.emplace(voter.id, false).second)
            fresh.push_back(voter.id);
    }
    if (!fresh.empty())
        actions.emplace_back(SendStage { .voters = std::move(fresh) });
    if (!edit.majorityAt || now - *edit.majorityAt <= leaseWithDrift(edit.options))
        return;
    // The leases of the silent ones have lapsed by now, so they take no work on the old version.
    const auto isMissed = [&](const Voter& voter) { return voter.isHeard && !edit.voters.at(voter.id); };
    if (std::any_of(voters.begin(), voters.end(), isMissed))
        return;
    edit.phase = EditPhase::Committing;
    writeCommit(edit, actions);
}

void takeConfirmation(Edit& edit, EditActions& actions, std::string_view voter, Time now)
{
    const auto found = edit.voters.find(voter);
    if (edit.phase != EditPhase::Confirming || found == edit.voters.end())
        return;
    found->second = true;
    if (!edit.majorityAt && hasMajority(edit))
        edit.majorityAt = now;
    commitIfAllConfirmed(edit, actions);
}

void takeDenial(Edit& edit, EditActions& actions, const Denied& event, Time)
{
    if (edit.phase == EditPhase::Confirming)
        abort(edit, actions, event.voter + " does not take it: " + event.reason);
}

void tickConfirming(Edit& edit, EditActions& actions, Time now)
{
    const auto waited = now - edit.decidedAt;
    const auto silent = missing(edit.voters);
    if (!edit.majorityAt && waited > edit.options.majorityDeadline)
        return abort(edit, actions, "only " + std::to_string(countConfirmed(edit)) + " of " + std::to_string(edit.voters.size()) + " daemons confirmed; no answer from " + listNames(silent));
    if (waited > edit.options.confirmDeadline)
        return abort(edit, actions, "no confirmation from " + listNames(silent) + ", which other daemons still hear");
    if (now < edit.retryAt)
        return;
    edit.retryAt = now + edit.options.retryInterval;
    if (!silent.empty())
        actions.emplace_back(SendStage { .voters = silent });
}

void beginSpreading(Edit& edit, EditActions& actions, Time now)
{
    edit.phase = EditPhase::Spreading;
    edit.decidedAt = now;
    edit.retryAt = now + edit.options.retryInterval;
    for (const auto& [name, confirmed] : edit.voters)
        edit.applied.emplace(name, false);
    actions.emplace_back(EnforceOwn {});
    actions.emplace_back(SendDecision { .voters = listVoters(edit) });
}

void takeApplied(Edit& edit, EditActions& actions, std::string_view voter, Time)
{
    const auto found = edit.applied.find(voter);
    if (edit.phase != EditPhase::Spreading || found == edit.applied.end())
        return;
    found->second = true;
    if (!missing(edit.applied).empty())
        return;
    edit.phase = EditPhase::Finished;
    answerInForce(edit, actions);
}

void tickSpreading(Edit& edit, EditActions& actions, Time now)
{
    if (now - edit.decidedAt > edit.options.fateBound) {
        // Who has not heard by now has stopped to take work of the touched services, and learns it from its peers.
        edit.phase = EditPhase::Finished;
        return answerInForce(edit, actions);
    }
    if (now < edit.retryAt)
        return;
    edit.retryAt = now + edit.options.retryInterval;
    actions.emplace_back(SendDecision { .voters = missing(edit.applied) });
}

}
