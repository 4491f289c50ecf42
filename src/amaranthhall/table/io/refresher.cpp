#include "amaranthhall/table/io/refresher.hpp"

#include "amaranthhall/membership/role_holders.hpp"
#include "amaranthhall/table/table_json.hpp"
#include "amaranthhall/table/table_messages.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>

namespace amaranthhall::table {

namespace {

    using namespace std::chrono_literals;

    constexpr auto refreshInterval = 1s; // a few attempts fit into a lease
    constexpr auto stageInterval = 300ms; // several questions fit into the bound of a staged edit's fate
    constexpr auto callTimeout = 800ms;
    constexpr auto electorateInterval = 60s; // a daemon that is no poller reads the store this seldom
    constexpr auto listInterval = 10s;
    constexpr auto resolveDelay = 1s;
    constexpr std::size_t pollers = 3;
    constexpr auto pollerRole = "table/poll";

}

Refresher::Refresher(TableContext& usedContext, HeadStore& usedStore)
    : context(usedContext)
    , store(usedStore)
    , backoff({ .shortest = 200ms, .longest = 5s })
{
}

void Refresher::start()
{
    this->running = std::make_shared<bool>(true);
    this->refresh();
    this->stageTimer = this->context.loop.every(stageInterval, [this] { this->watchStage(); });
}

void Refresher::stop()
{
    this->running.reset();
    this->refreshTimer.reset();
    this->stageTimer.reset();
}

bool Refresher::isPoller() const
{
    const auto members = this->context.listMembers();
    const auto holders = membership::chooseRoleHolders(members, pollerRole, pollers);
    const auto isSelf = [this](const auto* holder) { return holder->id == this->context.vm.id; };
    return holders.empty() || std::any_of(holders.begin(), holders.end(), isSelf);
}

void Refresher::schedule()
{
    const auto jitter = std::uniform_int_distribution<int>(0, 200)(this->context.random);
    const auto wait = refreshInterval - std::chrono::milliseconds(jitter);
    this->refreshTimer = this->context.loop.after(wait, [this] { this->refresh(); });
}

void Refresher::refresh()
{
    if (this->isRefreshing)
        return;
    this->isRefreshing = true;
    const auto now = this->context.loop.now();
    const auto mustReadStore = !this->context.replica.isLoaded || now - this->lastStoreRead > electorateInterval;
    if (this->isPoller() || mustReadStore || this->failures % 2 == 1)
        this->readStore();
    else
        this->askPoller();
}

void Refresher::finishRefresh(bool succeeded)
{
    this->isRefreshing = false;
    this->failures = succeeded ? 0 : this->failures + 1;
    if (succeeded)
        this->backoff.reset();
    this->schedule();
}

void Refresher::readStore()
{
    const auto askedAt = this->context.loop.now();
    this->store.readHead([this, askedAt, alive = std::weak_ptr(this->running)](const auto& stored) {
        if (alive.expired())
            return;
        if (!stored)
            return this->askMajority();
        this->lastStoreRead = askedAt;
        if (askedAt - this->lastElectorate > listInterval)
            this->readElectorate([](bool) {});
        this->take(makeReport(stored->head, stored->rowVersion), askedAt, std::nullopt, [this](bool complete) { this->finishRefresh(complete); });
    });
}

void Refresher::askPoller()
{
    const auto members = this->context.listMembers();
    const auto holders = membership::chooseRoleHolders(members, pollerRole, pollers);
    const auto chosen = std::uniform_int_distribution<std::size_t>(0, holders.size() - 1)(this->context.random);
    const auto address = holders[chosen]->peer;
    const auto askedAt = this->context.loop.now();
    this->ask(address, [this, address, askedAt](const auto& report) {
        if (!report)
            return this->finishRefresh(false);
        const auto isFresh = report->contactAge <= this->context.options.lease / 2;
        this->take(*report, askedAt, address, [this, isFresh](bool complete) { this->finishRefresh(complete && isFresh); });
    });
}

void Refresher::askMajority()
{
    this->addMembers();
    if (this->electors.empty())
        return this->finishRefresh(false);
    const auto round = std::make_shared<MajorityRound>(beginRound(this->electors.size(), this->context.replica.isLoaded, this->context.loop.now()));
    for (const auto& [id, address] : this->electors) {
        this->ask(address, [this, round, elector = id, peer = address](const auto& report) {
            if (!report || !report->isLoaded)
                return this->takeAnswer(round, elector, report ? ElectorAnswer::Unloaded : ElectorAnswer::Silent);
            this->take(*report, std::nullopt, peer, [this, round, elector](bool complete) {
                this->takeAnswer(round, elector, complete ? ElectorAnswer::UpToDate : ElectorAnswer::Silent);
            });
        });
    }
}

void Refresher::takeAnswer(const std::shared_ptr<MajorityRound>& round, const std::string& elector, ElectorAnswer answer)
{
    // Who has just started itself cannot tell newcomers from those that have forgotten.
    countAnswer(*round, answer, this->context.replica.isLoaded && !this->established.contains(elector));
    if (answer == ElectorAnswer::UpToDate)
        this->established.insert(elector);
    if (round->open > 0)
        return;
    const auto& replica = this->context.replica;
    const auto isInTouch = hasMajority(*round) && replica.knownVersion <= replica.inForce.version;
    if (isInTouch) {
        renewContact(this->context.replica, round->askedAt);
        this->context.changed();
    }
    this->finishRefresh(isInTouch);
}

void Refresher::readElectorate(std::function<void(bool)> done)
{
    this->lastElectorate = this->context.loop.now();
    this->store.listVms([this, done = std::move(done), alive = std::weak_ptr(this->running)](const auto& vms) {
        if (alive.expired())
            return;
        if (vms) {
            this->electors.clear();
            this->established.clear();
        }
        this->addMembers();
        for (const auto& vm : vms.value_or(std::vector<platform::VmEntry> {})) {
            if (vm.id == this->context.vm.id || vm.peer.port == 0 || this->context.peers == nullptr)
                continue;
            this->electors.emplace(vm.id, vm.peer);
            this->established.insert(vm.id);
        }
        done(vms.has_value());
    });
}

void Refresher::addMembers()
{
    for (auto& [id, address] : this->context.otherDaemons())
        this->electors.insert_or_assign(id, address);
}

void Refresher::ask(const kernel::Address& peer, std::function<void(std::optional<Report>)> done)
{
    this->context.peers->call(peer, "table.state", peer::Json::object(), callTimeout, [done = std::move(done), alive = std::weak_ptr(this->running)](const auto& result) {
        if (!alive.expired())
            done(result ? decodeReport(*result) : std::nullopt);
    });
}

void Refresher::take(const Report& report, std::optional<Time> askedAt, std::optional<kernel::Address> source, std::function<void(bool)> done)
{
    const auto wanted = takeReport(this->context.replica, report, askedAt);
    this->context.changed();
    if (wanted.isEmpty()) {
        if (done)
            done(report.isLoaded);
        return;
    }
    this->fetchTable(wanted, source, [this, wanted, source, report, askedAt, done = std::move(done)] {
        this->fetchStage(wanted, source, [this, report, askedAt, done] {
            const auto isComplete = takeReport(this->context.replica, report, askedAt).isEmpty();
            this->context.changed();
            if (done)
                done(isComplete);
        });
    });
}

void Refresher::fetchTable(const Wanted& wanted, std::optional<kernel::Address> source, std::function<void()> done)
{
    if (wanted.table.empty())
        return done();
    this->fetch(wanted.table, std::move(source), [this, digest = wanted.table, done = std::move(done)](const auto& image) {
        if (image && takeTable(this->context.replica, *image, digest))
            telemetry::logEvent(telemetry::LogLevel::Info, "table.enforced", { { "version", image->version }, { "source", "fetched" } });
        done();
    });
}

void Refresher::fetchStage(const Wanted& wanted, std::optional<kernel::Address> source, std::function<void()> done)
{
    if (!wanted.stage)
        return done();
    this->fetch(wanted.stage->digest, std::move(source), [this, info = *wanted.stage, done = std::move(done)](const auto& image) {
        if (image)
            holdStage(this->context.replica, { .info = info, .image = *image });
        done();
    });
}

void Refresher::fetch(const std::string& digest, std::optional<kernel::Address> source, std::function<void(std::optional<TableImage>)> done)
{
    if (!source)
        return this->fetchFromStore(digest, std::move(done));
    this->context.peers->call(*source, "table.fetch", { { "digest", digest } }, callTimeout, [this, digest, done = std::move(done), alive = std::weak_ptr(this->running)](const auto& result) {
        if (alive.expired())
            return;
        if (!result || !result->is_object() || !result->contains("table"))
            return this->fetchFromStore(digest, done);
        done(decodeTable(result->at("table").template get<std::string>()));
    });
}

void Refresher::fetchFromStore(const std::string& digest, std::function<void(std::optional<TableImage>)> done)
{
    this->store.readImage(digest, [done = std::move(done), alive = std::weak_ptr(this->running)](const auto& stored) {
        if (!alive.expired())
            done(stored ? std::optional(stored->image) : std::nullopt);
    });
}

void Refresher::watchStage()
{
    const auto& replica = this->context.replica;
    if (!replica.staged)
        return;
    const auto& info = replica.staged->info;
    if (info.editor != this->context.vm.id && this->context.peers != nullptr) {
        const auto askedAt = this->context.loop.now();
        this->ask(info.editorAddress, [this, askedAt, address = info.editorAddress](const auto& report) {
            if (report)
                this->take(*report, askedAt, address);
        });
    }
    const auto silence = this->context.loop.now() - replica.pendingAsOf;
    if (silence > this->context.options.fateBound + (this->isPoller() ? resolveDelay : 3 * resolveDelay))
        this->resolveStage();
}

void Refresher::resolveStage()
{
    const auto now = this->context.loop.now();
    const auto& staged = this->context.replica.staged;
    if (!staged || this->isResolving || now < this->nextResolve || staged->info.number == this->ownEdit)
        return;
    this->isResolving = true;
    this->store.readHead([this, askedAt = now, number = staged->info.number, alive = std::weak_ptr(this->running)](const auto& stored) {
        if (alive.expired())
            return;
        this->isResolving = false;
        this->nextResolve = this->context.loop.now() + this->backoff.next(this->context.random);
        if (!stored)
            return;
        if (!stored->head.staged || stored->head.staged->number != number)
            return this->take(makeReport(stored->head, stored->rowVersion), askedAt, std::nullopt);
        auto head = stored->head;
        head.staged.reset();
        const WriteHead abort { .requestId = "resolve/" + this->context.vm.id + "/" + std::to_string(number), .head = std::move(head), .expectedRowVersion = number };
        telemetry::logEvent(telemetry::LogLevel::Warning, "table.stage_abandoned", { { "number", number }, { "edit", stored->head.staged->editId } });
        this->store.writeHead(abort, {}, [this, alive](const auto&) {
            if (!alive.expired())
                this->readStore();
        });
    });
}

}
