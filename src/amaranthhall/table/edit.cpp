#include "amaranthhall/table/edit.hpp"

#include "amaranthhall/table/edit_steps.hpp"

namespace amaranthhall::table {

using namespace internal;

namespace {

    void takeCommitted(Edit& edit, EditActions& actions, const HeadRead& event, Time now)
    {
        if (edit.number > 0 && event.head.digest == edit.digest)
            return beginSpreading(edit, actions, now);
        edit.phase = EditPhase::Finished;
        answer(edit, actions, { .outcome = EditOutcome::InForce, .version = *event.committedAs });
    }

    void refuseForConflict(Edit& edit, EditActions& actions, const HeadRead& event, std::string reason)
    {
        withdraw(edit, actions);
        answer(edit, actions, { .outcome = EditOutcome::Refused, .version = event.head.version, .reason = std::move(reason), .differences = diffTables(event.inForce, edit.request.image) });
    }

    /// Tells whether another's stage must be waited for: its editor may be about to spread it.
    bool mustWaitForRival(Edit& edit, const HeadRead& event, Time now)
    {
        if (!event.head.staged || event.isRivalDecided || event.head.staged->editId == edit.request.editId)
            return false;
        if (!edit.rivalSince)
            edit.rivalSince = now;
        return now - *edit.rivalSince <= edit.options.fateBound;
    }

    void beginStoring(Edit& edit, EditActions& actions)
    {
        edit.phase = EditPhase::Storing;
        edit.isWaiting = true;
        actions.emplace_back(StoreImage {});
    }

    void takeHead(Edit& edit, EditActions& actions, const HeadRead& event, Time now)
    {
        edit.isWaiting = false;
        edit.head = event.head;
        edit.rowVersion = event.rowVersion;
        if (event.committedAs)
            return takeCommitted(edit, actions, event, now);
        if (edit.mayBeCommitted)
            return refuseForConflict(edit, actions, event, "another edit was staged in its place");
        if (event.head.version != edit.request.expectedVersion)
            return refuseForConflict(edit, actions, event, "version " + std::to_string(event.head.version) + " is in force, not " + std::to_string(edit.request.expectedVersion));
        if (event.isRivalAlive && event.head.staged && event.head.staged->editId != edit.request.editId)
            return refuseForConflict(edit, actions, event, "edit " + event.head.staged->editId + " is under way on " + event.head.staged->editor);
        if (mustWaitForRival(edit, event, now)) {
            edit.retryAt = now + edit.options.retryInterval;
            return;
        }
        if (diffTables(event.inForce, edit.request.image).empty()) {
            edit.phase = EditPhase::Finished;
            return answer(edit, actions, { .outcome = EditOutcome::InForce, .version = event.head.version, .reason = "nothing differs" });
        }
        beginStoring(edit, actions);
    }

    void takeImageStored(Edit& edit, EditActions& actions, StoreAnswer stored, Time now)
    {
        edit.isWaiting = false;
        if (stored == StoreAnswer::Done)
            return writeStage(edit, actions);
        edit.retryAt = now + edit.options.retryInterval;
    }

    /// Reads the head again after a conflict: it tells whether an earlier try went through.
    void readAgain(Edit& edit, EditActions& actions)
    {
        edit.phase = EditPhase::Reading;
        edit.isWaiting = true;
        actions.emplace_back(ReadHead {});
    }

    void takeHeadWritten(Edit& edit, EditActions& actions, const HeadWritten& event, Time now)
    {
        if (edit.phase != EditPhase::Staging && edit.phase != EditPhase::Committing)
            return; // the answer to the abort, on which nothing depends
        edit.isWaiting = false;
        const auto isCommit = edit.phase == EditPhase::Committing;
        if (event.answer == StoreAnswer::Unknown && isCommit)
            edit.mayBeCommitted = true;
        edit.retryAt = now + (edit.isAnswered ? edit.options.lateRetryInterval : edit.options.retryInterval);
        if (event.answer == StoreAnswer::Conflict) {
            edit.mayBeCommitted = isCommit;
            return readAgain(edit, actions);
        }
        if (event.answer != StoreAnswer::Done)
            return;
        edit.rowVersion = event.rowVersion;
        if (isCommit)
            return beginSpreading(edit, actions, now);
        beginConfirming(edit, actions, now);
    }

    /// Repeats the request to the store that is due.
    void retryStore(Edit& edit, EditActions& actions)
    {
        edit.isWaiting = true;
        switch (edit.phase) {
        case EditPhase::Reading:
            actions.emplace_back(ReadHead {});
            return;
        case EditPhase::Storing:
            actions.emplace_back(StoreImage {});
            return;
        case EditPhase::Staging:
            return writeStage(edit, actions);
        case EditPhase::Committing:
            return writeCommit(edit, actions);
        default:
            edit.isWaiting = false;
        }
    }

    void tickStore(Edit& edit, EditActions& actions, Time now)
    {
        const auto beforeCommit = edit.phase == EditPhase::Reading || edit.phase == EditPhase::Storing || edit.phase == EditPhase::Staging;
        const auto waited = now - edit.startedAt;
        if (beforeCommit && !edit.mayBeCommitted && waited > edit.options.storeDeadline)
            return abort(edit, actions, "the store does not answer");
        if (edit.isWaiting || now < edit.retryAt)
            return;
        if (!edit.mayBeCommitted && waited > edit.options.answerDeadline)
            return abort(edit, actions, "the store does not answer");
        retryStore(edit, actions);
    }

    void tick(Edit& edit, EditActions& actions, Time now)
    {
        if (edit.phase == EditPhase::Confirming)
            tickConfirming(edit, actions, now);
        else if (edit.phase == EditPhase::Spreading)
            tickSpreading(edit, actions, now);
        else if (edit.phase != EditPhase::Finished)
            tickStore(edit, actions, now);
        if (edit.phase != EditPhase::Finished && !edit.isAnswered && now - edit.startedAt > edit.options.answerDeadline)
            answer(edit, actions, { .outcome = EditOutcome::Unknown, .version = edit.request.expectedVersion, .reason = "the store has not said whether the edit was committed; ask again with --edit-id " + edit.request.editId });
    }

    struct Dispatcher {
        Edit& edit;
        EditActions& actions;
        Time now;

        void operator()(const EditTick&) const { tick(this->edit, this->actions, this->now); }
        void operator()(const HeadRead& event) const { takeHead(this->edit, this->actions, event, this->now); }
        void operator()(const HeadReadFailed&) const
        {
            this->edit.isWaiting = false;
            this->edit.retryAt = this->now + this->edit.options.retryInterval;
        }
        void operator()(const ImageStored& event) const { takeImageStored(this->edit, this->actions, event.answer, this->now); }
        void operator()(const HeadWritten& event) const { takeHeadWritten(this->edit, this->actions, event, this->now); }
        void operator()(const VotersSeen& event) const { takeVoters(this->edit, this->actions, event.voters, this->now); }
        void operator()(const Confirmed& event) const { takeConfirmation(this->edit, this->actions, event.voter, this->now); }
        void operator()(const Denied& event) const { takeDenial(this->edit, this->actions, event, this->now); }
        void operator()(const Applied& event) const { takeApplied(this->edit, this->actions, event.voter, this->now); }
    };

}

Edit beginEdit(EditRequest request, EditOptions options, std::string editor, kernel::Address editorAddress, Time now)
{
    Edit edit { .request = std::move(request), .options = options, .editor = std::move(editor), .editorAddress = std::move(editorAddress), .startedAt = now, .retryAt = now };
    edit.request.image.version = edit.request.expectedVersion + 1;
    return edit;
}

EditActions step(Edit& edit, const EditEvent& event, Time now)
{
    EditActions actions;
    std::visit(Dispatcher { .edit = edit, .actions = actions, .now = now }, event);
    return actions;
}

bool isPending(const Edit& edit) noexcept
{
    return edit.phase == EditPhase::Confirming;
}

}
