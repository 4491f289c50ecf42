#include "amaranthhall/table/io/edit_runner.hpp"

#include "amaranthhall/table/table_json.hpp"
#include "amaranthhall/table/table_messages.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <ctime>

namespace amaranthhall::table {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tickInterval = 100ms;
    constexpr auto callTimeout = 1s;

    std::string formatUtc()
    {
        const auto now = std::time(nullptr);
        std::tm parts {};
        gmtime_r(&now, &parts);
        std::string text(std::size("2026-01-01T00:00:00Z") - 1, '\0');
        std::strftime(text.data(), text.size() + 1, "%FT%TZ", &parts);
        return text;
    }

}

EditRunner::EditRunner(TableContext& usedContext, HeadStore& usedStore, Refresher& usedRefresher)
    : context(usedContext)
    , store(usedStore)
    , refresher(usedRefresher)
{
}

void EditRunner::run(EditRequest request, Done done)
{
    if (this->edit && this->edit->phase != EditPhase::Finished) {
        if (this->edit->request.editId == request.editId && !this->edit->isAnswered)
            this->waiting.push_back(std::move(done));
        else if (this->edit->request.editId == request.editId)
            done({ .outcome = EditOutcome::Unknown, .version = request.expectedVersion, .reason = "the store has still not said whether the edit was committed; ask again later" });
        else
            done({ .outcome = EditOutcome::Refused, .version = this->context.replica.inForce.version, .reason = "edit " + this->edit->request.editId + " is under way on " + this->context.vm.id, .differences = diffTables(this->context.replica.inForce, request.image) });
        return;
    }
    const EditOptions options { .lease = this->context.options.lease, .fateBound = this->context.options.fateBound };
    const auto address = this->context.peers == nullptr ? kernel::Address {} : this->context.peers->listenAddress();
    telemetry::logEvent(telemetry::LogLevel::Info, "table.edit_begun", { { "edit", request.editId }, { "expected_version", request.expectedVersion } });
    this->running = std::make_shared<bool>(true);
    this->edit = beginEdit(std::move(request), options, this->context.vm.id, address, this->context.loop.now());
    this->waiting = { std::move(done) };
    this->addresses.clear();
    this->staging.clear();
    this->timer = this->context.loop.every(tickInterval, [this] { this->tick(); });
    this->dispatch(EditTick {});
}

void EditRunner::stop()
{
    this->running.reset();
    this->timer.reset();
}

void EditRunner::renewOwnStage()
{
    if (this->edit && isPending(*this->edit))
        renewPending(this->context.replica, this->edit->number, this->context.loop.now());
}

void EditRunner::tick()
{
    this->renewOwnStage();
    this->refresher.addMembers();
    if (this->edit->phase == EditPhase::Confirming)
        this->dispatch(VotersSeen { .voters = this->listVoters() });
    this->dispatch(EditTick {});
    if (this->edit->phase == EditPhase::Finished) {
        this->refresher.setOwnEdit(0);
        this->timer.reset();
    }
}

std::vector<Voter> EditRunner::listVoters() const
{
    std::vector<Voter> voters { { .id = this->context.vm.id } };
    std::set<std::string, std::less<>> heard;
    for (const auto& member : this->context.listMembers()) {
        if (member.state == membership::MemberState::Live || member.state == membership::MemberState::Leaving)
            heard.insert(member.id);
    }
    for (const auto& [id, address] : this->refresher.electorate())
        voters.push_back({ .id = id, .isHeard = heard.contains(id) });
    return voters;
}

void EditRunner::dispatch(const EditEvent& event)
{
    for (const auto& action : step(*this->edit, event, this->context.loop.now()))
        this->perform(action);
}

void EditRunner::perform(const EditAction& action)
{
    struct Performer {
        EditRunner& runner;

        void operator()(const ReadHead&) const { this->runner.readHead(); }
        void operator()(const StoreImage&) const { this->runner.storeImage(); }
        void operator()(const WriteHead& write) const { this->runner.writeHead(write); }
        void operator()(const HoldOwnStage& hold) const { this->runner.holdOwnStage(hold.info); }
        void operator()(const SendStage& send) const { this->runner.sendStage(send.voters); }
        void operator()(const EnforceOwn&) const { this->runner.enforceOwn(); }
        void operator()(const WithdrawOwn&) const { this->runner.withdrawOwn(); }
        void operator()(const SendDecision& send) const { this->runner.sendDecision(send.voters); }
        void operator()(const Answer& answered) const { this->runner.answer(answered.result); }
    };
    std::visit(Performer { .runner = *this }, action);
}

void EditRunner::readHead()
{
    this->store.readHead([this, alive = this->guard()](const auto& stored) {
        if (alive.expired())
            return;
        if (!stored)
            return this->dispatch(HeadReadFailed {});
        // The replica must hold what the head names before the edit is compared with it.
        this->refresher.take(makeReport(stored->head, stored->rowVersion), std::nullopt, std::nullopt, [this, alive, head = *stored](bool) {
            if (!alive.expired())
                this->takeHead(head);
        });
    });
}

void EditRunner::takeHead(const StoredHead& stored)
{
    this->refresher.readElectorate([this, stored, alive = this->guard()](bool isRead) {
        if (alive.expired())
            return;
        // A daemon that has just started may have forgotten a stage, so it waits until it is in touch.
        if (!isRead || !this->context.replica.isLoaded)
            return this->dispatch(HeadReadFailed {});
        this->readCommitted(stored);
    });
}

void EditRunner::readCommitted(const StoredHead& stored)
{
    // The edit's own row is read after the head: if it does not exist now, the edit was not committed when the head was read.
    this->store.readCommitted(this->edit->request.editId, [this, stored, alive = this->guard()](const auto& committed) {
        if (alive.expired())
            return;
        const auto& replica = this->context.replica;
        if (!committed || replica.inForce.version < stored.head.version)
            return this->dispatch(HeadReadFailed {});
        HeadRead event { .head = stored.head, .rowVersion = stored.rowVersion, .inForce = replica.inForce, .committedAs = *committed };
        if (const auto& rival = stored.head.staged) {
            const auto isHeld = replica.staged && replica.staged->info.number == rival->number;
            event.isRivalAlive = isHeld && this->context.loop.now() - replica.pendingAsOf <= this->context.options.fateBound;
            event.isRivalDecided = !isHeld && replica.lastStage >= rival->number;
        }
        this->dispatch(event);
    });
}

void EditRunner::storeImage()
{
    const StoredImage stored {
        .image = this->edit->request.image,
        .previous = this->edit->head.digest,
        .editId = this->edit->request.editId,
        .editor = this->context.vm.id,
        .at = formatUtc(),
    };
    this->store.storeImage(stored, [this, alive = this->guard()](StoreAnswer stored) {
        if (!alive.expired())
            this->dispatch(ImageStored { .answer = stored });
    });
}

void EditRunner::writeHead(const WriteHead& action)
{
    this->store.writeHead(action, this->edit->request.editId, [this, alive = this->guard()](const HeadWritten& written) {
        if (!alive.expired())
            this->dispatch(written);
    });
}

void EditRunner::holdOwnStage(const StageInfo& info)
{
    const auto held = holdStage(this->context.replica, { .info = info, .image = this->edit->request.image }, this->context.loop.now());
    this->refresher.setOwnEdit(info.number);
    this->context.changed();
    this->dispatch(VotersSeen { .voters = this->listVoters() });
    if (held == StageAnswer::Held)
        this->dispatch(Confirmed { .voter = this->context.vm.id });
    else
        this->dispatch(Denied { .voter = this->context.vm.id, .reason = "a newer edit is staged" });
}

void EditRunner::sendStage(const std::vector<std::string>& voters)
{
    for (const auto& [id, address] : this->refresher.electorate())
        this->addresses.insert_or_assign(id, address);
    for (const auto& voter : voters) {
        const auto found = this->addresses.find(voter);
        if (found != this->addresses.end() && this->staging.insert(voter).second)
            this->sendStageTo(voter, found->second);
    }
}

void EditRunner::sendStageTo(const std::string& voter, const kernel::Address& address)
{
    const auto& staged = this->context.replica.staged;
    if (!staged || staged->info.number != this->edit->number)
        return;
    this->context.peers->call(address, "table.stage", encodeStage(*staged), callTimeout, [this, voter, alive = this->guard()](const auto& result) {
        if (alive.expired())
            return;
        this->staging.erase(voter);
        if (result && result->value("answer", "") == "held")
            this->dispatch(Confirmed { .voter = voter });
        else if (result && result->contains("answer"))
            this->dispatch(Denied { .voter = voter, .reason = result->at("answer").template get<std::string>() });
    });
}

void EditRunner::sendDecision(const std::vector<std::string>& voters)
{
    const auto report = encodeReport(makeReport(this->context.replica, this->context.loop.now()));
    for (const auto& voter : voters) {
        const auto found = this->addresses.find(voter);
        if (found == this->addresses.end())
            continue;
        this->context.peers->call(found->second, "table.decide", report, callTimeout, [this, voter, alive = this->guard()](const auto& result) {
            if (!alive.expired() && result && result->value("version", Version { 0 }) >= this->edit->request.image.version)
                this->dispatch(Applied { .voter = voter });
        });
    }
}

void EditRunner::enforceOwn()
{
    takeTable(this->context.replica, this->edit->request.image, this->edit->digest);
    telemetry::logEvent(telemetry::LogLevel::Info, "table.enforced", { { "version", this->context.replica.inForce.version }, { "source", "edit" } });
    this->context.changed();
    this->context.loop.post([this, alive = this->guard()] {
        if (!alive.expired())
            this->dispatch(Applied { .voter = this->context.vm.id });
    });
}

void EditRunner::withdrawOwn()
{
    auto report = makeReport(this->context.replica, this->context.loop.now());
    report.isLoaded = true;
    report.stage.reset();
    report.lastStage = std::max(report.lastStage, this->edit->number);
    static_cast<void>(takeReport(this->context.replica, report, std::nullopt));
    this->context.changed();
}

void EditRunner::answer(const EditResult& result)
{
    const auto* outcome = result.outcome == EditOutcome::InForce ? "in_force" : (result.outcome == EditOutcome::Refused ? "refused" : "unknown");
    telemetry::logEvent(telemetry::LogLevel::Info, "table.edit_answered", { { "edit", this->edit->request.editId }, { "outcome", outcome }, { "version", result.version }, { "reason", result.reason } });
    for (const auto& done : std::exchange(this->waiting, {}))
        done(result);
}

}
