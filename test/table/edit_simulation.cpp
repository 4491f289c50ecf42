#include "table/edit_simulation.hpp"

#include "amaranthhall/table/table_json.hpp"
#include "table/sample_table.hpp"

#include <algorithm>

namespace amaranthhall::table {

namespace {

    using namespace std::chrono_literals;

    constexpr auto service = "coach-ledger";
    constexpr auto faultyTime = 40s;
    constexpr auto healingTime = 40s;
    constexpr auto inForceBound = 4s + 50ms; // the lease; the drift of clocks is not simulated
    const ReplicaOptions replicaOptions;

    std::size_t indexOf(const std::string& id)
    {
        return std::stoul(id.substr(id.find('-') + 1));
    }

}

EditSimulation::EditSimulation(std::uint64_t seed, std::size_t daemons)
    : random(seed)
    , now(Time { 1000s })
    , healedAt(this->now + faultyTime)
{
    const auto first = sampleTable(1);
    this->head = { .version = 1, .digest = digestTable(first) };
    this->images.emplace(this->head.digest, first);
    this->commitTimes.emplace(1, this->now);
    for (std::size_t i = 0; i < daemons; ++i) {
        auto& node = this->nodes.emplace_back();
        node.id = "vm-" + std::to_string(i);
        takeTable(node.replica, first, this->head.digest);
        renewContact(node.replica, this->now);
    }
}

void EditSimulation::run()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->atNode(i, this->delay() * 10, [this, i] { this->refresh(i); });
        this->atNode(i, 300ms, [this, i] { this->watchStage(i); });
        this->atNode(i, 1ms, [this, i] { this->check(i); });
    }
    this->at(this->now + 100ms, [this] { this->injectFaults(); });
    this->atNode(0, 2s, [this] { this->beginEdit(0, "left", 40); });
    this->atNode(1, 2s + this->delay() * 20, [this] { this->beginEdit(1, "right", 60); });
    const auto end = this->healedAt + healingTime;
    while (!this->queue.empty() && this->queue.begin()->first < end) {
        const auto next = this->queue.begin();
        this->now = next->first;
        const auto work = std::move(next->second);
        this->queue.erase(next);
        work();
    }
    this->checkEnd();
}

void EditSimulation::at(Time time, Work work)
{
    this->queue.emplace(time, std::move(work));
}

void EditSimulation::atNode(std::size_t node, Duration delay, Work work)
{
    this->at(this->now + delay, [this, node, work = std::move(work)] {
        if (this->nodes[node].pausedUntil > this->now)
            this->at(this->nodes[node].pausedUntil, work);
        else
            work();
    });
}

Duration EditSimulation::delay()
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(1, this->chance(0.1) ? 900 : 20)(this->random));
}

bool EditSimulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

void EditSimulation::injectFaults()
{
    if (this->now >= this->healedAt)
        return;
    auto& node = this->nodes[std::uniform_int_distribution<std::size_t>(0, this->nodes.size() - 1)(this->random)];
    const auto until = std::min(this->healedAt, this->now + std::chrono::milliseconds(std::uniform_int_distribution<int>(100, 12'000)(this->random)));
    switch (std::uniform_int_distribution<int>(0, 3)(this->random)) {
    case 0:
        node.pausedUntil = until;
        break;
    case 1:
        node.cutUntil = until;
        break;
    case 2:
        node.isolatedUntil = until;
        break;
    default:
        for (auto& other : this->nodes)
            other.cutUntil = until;
    }
    this->at(this->now + std::chrono::milliseconds(std::uniform_int_distribution<int>(200, 4000)(this->random)), [this] { this->injectFaults(); });
}

void EditSimulation::sendToStore(std::size_t node, Work atStore)
{
    if (this->nodes[node].cutUntil <= this->now)
        this->at(this->now + this->delay(), std::move(atStore));
}

void EditSimulation::sendToNode(std::size_t from, std::size_t to, Work work)
{
    const auto isCut = this->nodes[from].isolatedUntil > this->now || this->nodes[to].isolatedUntil > this->now;
    const auto isLost = this->now < this->healedAt && this->chance(0.05);
    if (!isCut && !isLost)
        this->atNode(to, this->delay(), std::move(work));
}

void EditSimulation::refresh(std::size_t node)
{
    this->atNode(node, 1s, [this, node] { this->refresh(node); });
    if (this->nodes[node].cutUntil > this->now)
        return this->askMajority(node);
    this->sendToStore(node, [this, node, askedAt = this->now] {
        this->atNode(node, this->delay(), [this, node, askedAt, report = makeReport(this->head, this->rowVersion)] { this->take(node, report, askedAt); });
    });
}

void EditSimulation::askMajority(std::size_t node)
{
    const auto round = std::make_shared<MajorityRound>(beginRound(this->nodes.size() - 1, true, this->now));
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        if (other == node)
            continue;
        this->sendToNode(node, other, [this, node, other, round] {
            this->sendToNode(other, node, [this, node, round, report = this->reportOf(other)] {
                this->take(node, report, std::nullopt);
                countAnswer(*round, ElectorAnswer::UpToDate, false);
                const auto& replica = this->nodes[node].replica;
                if (hasMajority(*round) && replica.knownVersion <= replica.inForce.version)
                    renewContact(this->nodes[node].replica, round->askedAt);
            });
        });
    }
}

void EditSimulation::watchStage(std::size_t node)
{
    this->atNode(node, 300ms, [this, node] { this->watchStage(node); });
    const auto& staged = this->nodes[node].replica.staged;
    if (!staged)
        return;
    const auto editor = indexOf(staged->info.editor);
    if (editor != node) {
        this->sendToNode(node, editor, [this, node, editor, askedAt = this->now] {
            this->sendToNode(editor, node, [this, node, askedAt, report = this->reportOf(editor)] { this->take(node, report, askedAt); });
        });
    }
    const auto isOwn = this->nodes[node].edit && this->nodes[node].edit->number == staged->info.number;
    if (isOwn || this->now - this->nodes[node].replica.pendingAsOf < 3s)
        return;
    this->sendToStore(node, [this, number = staged->info.number, id = this->nodes[node].id] {
        if (!this->head.staged || this->head.staged->number != number)
            return;
        auto without = this->head;
        without.staged.reset();
        this->writeHead({ .requestId = "resolve/" + id + std::to_string(number), .head = without, .expectedRowVersion = number }, {});
    });
}

void EditSimulation::take(std::size_t node, const Report& report, std::optional<Time> askedAt)
{
    auto& replica = this->nodes[node].replica;
    const auto wanted = takeReport(replica, report, askedAt);
    if (wanted.isEmpty())
        return;
    if (!wanted.table.empty())
        takeTable(replica, this->images.at(wanted.table), wanted.table);
    if (wanted.stage)
        holdStage(replica, { .info = *wanted.stage, .image = this->images.at(wanted.stage->digest) });
    static_cast<void>(takeReport(replica, report, askedAt));
}

Report EditSimulation::reportOf(std::size_t node)
{
    auto& of = this->nodes[node];
    if (of.edit && isPending(*of.edit))
        renewPending(of.replica, of.edit->number, this->now);
    return makeReport(of.replica, this->now);
}

bool EditSimulation::writeHead(const WriteHead& write, const std::string& editId)
{
    const auto [request, isNew] = this->requests.emplace(write.requestId, 0);
    if (!isNew)
        return request->second != 0;
    if (write.expectedRowVersion != this->rowVersion)
        return false;
    this->head = write.head;
    request->second = ++this->rowVersion;
    if (this->head.staged)
        this->head.staged->number = this->rowVersion;
    if (write.isCommit) {
        this->committedEdits.emplace(editId, write.head.version);
        this->commitTimes.emplace(write.head.version, this->now);
    }
    return true;
}

void EditSimulation::beginEdit(std::size_t node, const std::string& id, std::uint32_t weight)
{
    auto wanted = sampleTable(1);
    wanted.upstreams[0].weight = weight;
    this->nodes[node].edit = table::beginEdit({ .editId = id, .expectedVersion = 1, .image = wanted }, {}, this->nodes[node].id, {}, this->now);
    this->tickEdit(node);
}

void EditSimulation::tickEdit(std::size_t node)
{
    auto& edit = *this->nodes[node].edit;
    if (edit.phase == EditPhase::Confirming) {
        std::vector<Voter> voters;
        for (const auto& other : this->nodes)
            voters.push_back({ .id = other.id, .isHeard = other.isolatedUntil <= this->now && other.pausedUntil <= this->now });
        this->feed(node, VotersSeen { .voters = voters });
    }
    this->feed(node, EditTick {});
    if (edit.phase != EditPhase::Finished)
        this->atNode(node, 100ms, [this, node] { this->tickEdit(node); });
}

void EditSimulation::feed(std::size_t node, const EditEvent& event)
{
    for (const auto& action : step(*this->nodes[node].edit, event, this->now))
        this->perform(node, action);
}

void EditSimulation::perform(std::size_t node, const EditAction& action)
{
    auto& self = this->nodes[node];
    if (std::holds_alternative<ReadHead>(action)) {
        this->readHead(node);
    } else if (std::holds_alternative<StoreImage>(action)) {
        this->images.emplace(digestTable(self.edit->request.image), self.edit->request.image);
        this->atNode(node, this->delay(), [this, node] { this->feed(node, ImageStored {}); });
    } else if (const auto* written = std::get_if<WriteHead>(&action)) {
        this->write(node, *written);
    } else if (const auto* hold = std::get_if<HoldOwnStage>(&action)) {
        const auto held = holdStage(self.replica, { .info = hold->info, .image = self.edit->request.image });
        renewPending(self.replica, hold->info.number, this->now);
        std::vector<Voter> voters;
        for (const auto& other : this->nodes)
            voters.push_back({ .id = other.id });
        this->feed(node, VotersSeen { .voters = voters });
        this->feed(node, held == StageAnswer::Held ? EditEvent(Confirmed { .voter = self.id }) : EditEvent(Denied { .voter = self.id }));
    } else if (const auto* stage = std::get_if<SendStage>(&action)) {
        for (const auto& voter : stage->voters)
            this->sendStage(node, voter);
    } else if (std::holds_alternative<EnforceOwn>(action)) {
        takeTable(self.replica, self.edit->request.image, self.edit->digest);
        this->atNode(node, 0s, [this, node] { this->feed(node, Applied { .voter = this->nodes[node].id }); });
    } else if (std::holds_alternative<WithdrawOwn>(action)) {
        withdrawStage(self.replica, self.edit->number);
    } else if (const auto* decision = std::get_if<SendDecision>(&action)) {
        for (const auto& voter : decision->voters)
            this->sendDecision(node, voter);
    } else if (const auto* told = std::get_if<Answer>(&action)) {
        self.result = told->result;
    }
}

void EditSimulation::readHead(std::size_t node)
{
    if (this->nodes[node].cutUntil > this->now) {
        this->atNode(node, 1s, [this, node] { this->feed(node, HeadReadFailed {}); });
        return;
    }
    this->sendToStore(node, [this, node] {
        const auto found = this->committedEdits.find(this->nodes[node].edit->request.editId);
        HeadRead read { .head = this->head, .rowVersion = this->rowVersion, .inForce = this->images.at(this->head.digest) };
        if (found != this->committedEdits.end())
            read.committedAs = found->second;
        this->atNode(node, this->delay(), [this, node, read]() mutable {
            this->take(node, makeReport(read.head, read.rowVersion), std::nullopt);
            const auto& replica = this->nodes[node].replica;
            if (const auto& rival = read.head.staged) {
                const auto isHeld = replica.staged && replica.staged->info.number == rival->number;
                read.isRivalAlive = isHeld && this->now - replica.pendingAsOf <= replicaOptions.fateBound;
                read.isRivalDecided = !isHeld && replica.lastStage >= rival->number;
            }
            this->feed(node, read);
        });
    });
}

void EditSimulation::write(std::size_t node, const WriteHead& write)
{
    if (this->nodes[node].cutUntil > this->now) {
        this->atNode(node, 10ms, [this, node] { this->feed(node, HeadWritten { .answer = StoreAnswer::Unavailable }); });
        return;
    }
    const auto isLost = this->now < this->healedAt && this->chance(0.3);
    const auto editId = this->nodes[node].edit->request.editId;
    // Without an answer the client gives up after its timeout; the request may take effect later than that.
    this->at(this->now + this->delay() * (isLost ? 4 : 1), [this, node, write, editId, isLost] {
        const auto done = this->writeHead(write, editId);
        if (!isLost)
            this->atNode(node, this->delay(), [this, node, done, version = this->requests.at(write.requestId)] { this->feed(node, HeadWritten { .answer = done ? StoreAnswer::Done : StoreAnswer::Conflict, .rowVersion = version }); });
    });
    if (isLost)
        this->atNode(node, 1500ms, [this, node] { this->feed(node, HeadWritten { .answer = StoreAnswer::Unknown }); });
}

void EditSimulation::sendStage(std::size_t node, const std::string& voter)
{
    const auto& staged = this->nodes[node].replica.staged;
    const auto to = indexOf(voter);
    if (to == node || !staged || staged->info.number != this->nodes[node].edit->number)
        return;
    this->sendToNode(node, to, [this, node, to, voter, stage = *staged] {
        const auto held = holdStage(this->nodes[to].replica, stage) == StageAnswer::Held;
        this->sendToNode(to, node, [this, node, voter, held] { this->feed(node, held ? EditEvent(Confirmed { .voter = voter }) : EditEvent(Denied { .voter = voter })); });
    });
}

void EditSimulation::sendDecision(std::size_t node, const std::string& voter)
{
    const auto to = indexOf(voter);
    if (to == node)
        return;
    this->sendToNode(node, to, [this, node, to, voter, report = this->reportOf(node)] {
        this->take(to, report, std::nullopt);
        if (this->nodes[to].replica.inForce.version >= this->nodes[node].edit->request.image.version)
            this->sendToNode(to, node, [this, node, voter] { this->feed(node, Applied { .voter = voter }); });
    });
}

void EditSimulation::check(std::size_t node)
{
    this->atNode(node, 50ms, [this, node] { this->check(node); });
    auto& self = this->nodes[node];
    if (self.replica.inForce.version < self.lastVersion)
        this->fail(self.id + " went back");
    self.lastVersion = self.replica.inForce.version;
    const auto next = this->commitTimes.upper_bound(self.lastVersion);
    if (next != this->commitTimes.end() && this->now - next->second > inForceBound && mayTakeWork(self.replica, service, this->now, replicaOptions))
        this->fail(self.id + " works on version " + std::to_string(self.lastVersion) + " while " + std::to_string(next->first) + " is in force");
}

void EditSimulation::checkEnd()
{
    for (const auto& node : this->nodes) {
        if (node.replica.inForce.version != this->head.version || !mayTakeWork(node.replica, service, this->now, replicaOptions))
            this->fail(node.id + " does not come back: " + explainRefusal(node.replica, this->now, replicaOptions));
        if (!node.edit)
            continue;
        const auto isCommitted = this->committedEdits.contains(node.edit->request.editId);
        if (!node.result)
            this->fail(node.id + " has not answered the operator");
        else if (node.result->outcome != EditOutcome::Unknown && isCommitted != (node.result->outcome == EditOutcome::InForce))
            this->fail(node.id + " told the operator what is not so: " + node.result->reason);
    }
}

void EditSimulation::fail(const std::string& text)
{
    this->broken.push_back(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(this->now - Time { 1000s }).count()) + " ms: " + text);
}

}
