#include "amaranthhall/soak/soak_caller.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthhall::soak {

namespace {

    using namespace std::chrono_literals;
    using engine::Reply;
    using engine::ReplyCode;
    using engine::TransactionState;

    constexpr Duration connectTimeout = 800ms;
    constexpr Duration thinkTime = 15ms;
    constexpr Duration reconnectPause = 50ms;
    constexpr int items = 12; // few, so that reads and writes meet

    Fate fateOf(const Reply& reply)
    {
        if (reply.succeeded())
            return Fate::Acknowledged;
        if (reply.lost)
            return Fate::Unknown;
        const bool isPromise = engine::impliesNotRun(reply.code) || reply.code == ReplyCode::Aborted;
        return isPromise ? Fate::Refused : Fate::Unknown;
    }

}

SoakCaller::SoakCaller(CallerContext& usedContext, std::string usedName, std::string usedOrganisation, std::uint64_t seed)
    : context(usedContext)
    , name(std::move(usedName))
    , organisation(std::move(usedOrganisation))
    , random(seed)
{
    this->connect();
}

void SoakCaller::pause(Duration length, std::function<void()> then)
{
    this->timer = this->context.loop.after(length, std::move(then));
}

SoakKey SoakCaller::drawKey()
{
    std::vector<SoakKey> fitting;
    std::copy_if(this->context.keys.begin(), this->context.keys.end(), std::back_inserter(fitting), [this](const auto& candidate) { return this->organisation.empty() || candidate.organisation == this->organisation; });
    return fitting[this->random() % fitting.size()];
}

void SoakCaller::connect()
{
    if (this->link)
        this->context.loop.post([held = std::shared_ptr<engine::Link>(std::move(this->link))] {});
    ++this->sessions;
    this->database = this->context.databases[this->random() % this->context.databases.size()];
    this->key = this->drawKey();
    const auto& daemon = this->context.daemons[this->random() % this->context.daemons.size()];
    const catalog::UpstreamEntry target { .id = "soak", .service = this->database.name, .address = daemon };
    this->opening = this->context.links.open(
        target, this->key.key, connectTimeout,
        [this](engine::OpenResult result) {
            this->link = std::move(result.link);
            if (this->link)
                this->pause(thinkTime, [this] { this->next(); });
            else
                this->pause(reconnectPause, [this] { this->connect(); });
        },
        [this] { this->pause(reconnectPause, [this] { this->connect(); }); });
}

void SoakCaller::next()
{
    if (this->context.isStopping)
        return;
    this->operation = ++this->context.operations;
    switch (this->random() % 6) {
    case 0:
        this->write();
        return;
    case 1:
        this->transact();
        return;
    default:
        this->read();
    }
}

std::string SoakCaller::drawItem()
{
    return "item" + std::to_string(this->random() % items);
}

void SoakCaller::send(const std::string& text, engine::Link::Done done)
{
    const auto id = this->name + "." + std::to_string(++this->sequence);
    this->context.organisations.noteSent(id, { .key = this->key.key, .organisation = this->key.organisation, .operation = this->operation, .at = this->context.loop.now() });
    this->link->send({ .id = id, .text = text }, std::move(done));
}

void SoakCaller::read()
{
    const auto item = this->drawItem();
    const auto startedAt = this->context.loop.now();
    this->send("READ " + item, [this, item, startedAt](const Reply& reply) {
        if (reply.succeeded()) {
            ObservedRead observed { .group = this->database.group, .item = item, .data = reply.rows.empty() ? "" : reply.rows.front(), .startedAt = startedAt, .allowance = this->database.allowance };
            if (this->database.showsOwnWrites)
                observed.session = this->name + "/" + std::to_string(this->sessions);
            if (const auto wrong = this->context.oracle.checkRead(observed, this->context.commits(this->database.group)))
                this->context.violations.push_back(this->database.name + ": " + *wrong);
        }
        this->finish(reply);
    });
}

void SoakCaller::settle(const std::string& item, const std::string& data, const Reply& reply)
{
    this->context.oracle.noteWrite(this->database.group, this->name + "/" + std::to_string(this->sessions), item, data, fateOf(reply), this->context.loop.now());
}

void SoakCaller::write()
{
    const auto item = this->drawItem();
    const auto data = this->name + "-" + std::to_string(this->sequence);
    this->settle(item, data, { .lost = true });
    this->send("WRITE " + item + " " + data, [this, item, data](const Reply& reply) {
        this->settle(item, data, reply);
        this->finish(reply);
    });
}

void SoakCaller::transact()
{
    const auto item = this->drawItem();
    const auto data = this->name + "-" + std::to_string(this->sequence);
    this->settle(item, data, { .lost = true });
    this->send("BEGIN", [this, item, data](const Reply& begun) {
        if (!begun.succeeded()) {
            this->settle(item, data, begun);
            this->finish(begun);
            return;
        }
        this->send("WRITE " + item + " " + data, [this, item, data](const Reply& written) {
            if (!written.succeeded()) {
                this->settle(item, data, written);
                this->finish(written);
                return;
            }
            this->pause(thinkTime, [this, item, data] {
                this->send("COMMIT", [this, item, data](const Reply& reply) {
                    this->settle(item, data, reply);
                    this->finish(reply);
                });
            });
        });
    });
}

void SoakCaller::count(bool hasSucceeded)
{
    if (!this->key.organisation.empty() && this->key.organisation == this->context.limitedOrganisation)
        this->context.limitedAnswered += hasSucceeded ? 1 : 0;
    else
        ++(hasSucceeded ? this->context.answered : this->context.failed);
}

void SoakCaller::finish(const Reply& reply)
{
    this->count(reply.succeeded());
    if (reply.lost)
        return; // the link's end reconnects
    if (reply.state != TransactionState::Idle) {
        this->send("ROLLBACK", [this](const Reply& ended) {
            if (!ended.lost)
                this->pause(thinkTime, [this] { this->next(); });
        });
        return;
    }
    this->pause(thinkTime, [this] { this->next(); });
}

}
