#include "amaranthhall/table/io/table_service.hpp"

#include "amaranthhall/admin/admin_server.hpp"
#include "amaranthhall/table/io/table_routes.hpp"
#include "amaranthhall/table/table_json.hpp"
#include "amaranthhall/table/table_messages.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <random>

namespace amaranthhall::table {

namespace {

    using namespace std::chrono_literals;
    using peer::Json;

    constexpr auto watchInterval = 100ms;

    std::string_view describe(StageAnswer answer)
    {
        if (answer == StageAnswer::Held)
            return "held";
        return answer == StageAnswer::Decided ? "a newer edit is known there" : "the rows do not pass the checks there";
    }

    const TableImage* findImage(const Replica& replica, std::string_view digest)
    {
        if (replica.digest == digest)
            return &replica.inForce;
        if (replica.staged && replica.staged->info.digest == digest)
            return &replica.staged->image;
        return nullptr;
    }

    tl::unexpected<peer::PeerError> fail(std::string message)
    {
        return tl::make_unexpected(peer::PeerError { .code = peer::PeerErrorCode::Failed, .message = std::move(message) });
    }

}

TableService::TableService(kernel::Loop& loop, kernel::Registry& usedRegistry, kernel::VmSettings vm)
    : registry(usedRegistry)
    , context { .loop = loop, .vm = std::move(vm), .random = Random(std::random_device {}()) }
{
    this->context.replica.digest = digestTable({});
    this->context.changed = [this] { this->noteChange(); };
}

void TableService::start()
{
    this->context.peers = this->registry.findOptional<peer::PeerNetwork>("peers");
    this->context.members = this->registry.findOptional<membership::MemberSource>("members");
    this->metrics = this->registry.findOptional<telemetry::Metrics>("metrics");
    this->store = std::make_unique<HeadStore>(this->registry.find<platform::Platform>("platform"));
    this->refresher = std::make_unique<Refresher>(this->context, *this->store);
    this->runner = std::make_unique<EditRunner>(this->context, *this->store, *this->refresher);
    if (this->context.peers != nullptr)
        this->servePeers();
    if (auto* admin = this->registry.findOptional<admin::AdminServer>("admin"))
        routeTable(*admin, *this);
    this->watch = this->context.loop.every(watchInterval, [this] { this->noteChange(); });
    this->refresher->start();
}

void TableService::stop()
{
    this->watch.reset();
    if (this->runner)
        this->runner->stop();
    if (this->refresher)
        this->refresher->stop();
}

bool TableService::mayTakeWork(std::string_view service) const noexcept
{
    return table::mayTakeWork(this->context.replica, service, this->context.loop.now(), this->context.options);
}

std::string TableService::refusal() const
{
    return explainRefusal(this->context.replica, this->context.loop.now(), this->context.options);
}

void TableService::servePeers()
{
    auto& peers = *this->context.peers;
    peers.serve("table.state", [this](const Json&, const auto& reply) {
        this->runner->renewOwnStage();
        reply(encodeReport(makeReport(this->context.replica, this->context.loop.now())));
    });
    peers.serve("table.fetch", [this](const Json& parameters, const auto& reply) {
        const auto* image = findImage(this->context.replica, parameters.value("digest", ""));
        if (image == nullptr)
            return reply(fail("no such version here"));
        reply(Json { { "table", encodeTable(*image) } });
    });
    peers.serve("table.stage", [this](const Json& parameters, const auto& reply) {
        const auto stage = decodeStage(parameters);
        if (!stage)
            return reply(fail("malformed stage"));
        if (!this->context.replica.isLoaded)
            return reply(fail("not in touch yet"));
        const auto answer = holdStage(this->context.replica, *stage, this->context.loop.now());
        this->noteChange();
        reply(Json { { "answer", describe(answer) } });
    });
    peers.serve("table.decide", [this](const Json& parameters, const auto& reply) {
        const auto report = decodeReport(parameters);
        if (!report)
            return reply(fail("malformed report"));
        this->refresher->take(*report, std::nullopt, std::nullopt, [this, reply](bool) {
            reply(Json { { "version", this->context.replica.inForce.version } });
        });
    });
}

void TableService::noteChange()
{
    const auto version = this->context.replica.inForce.version;
    auto refusal = this->refusal();
    if (version == this->notifiedVersion && refusal == this->notifiedRefusal)
        return;
    if (refusal != this->notifiedRefusal)
        telemetry::logEvent(telemetry::LogLevel::Warning, refusal.empty() ? "table.takes_work" : "table.refuses_work", { { "version", version }, { "reason", refusal } });
    if (version != this->notifiedVersion)
        telemetry::logEvent(telemetry::LogLevel::Info, "table.version", { { "version", version }, { "digest", this->context.replica.digest } });
    this->notifiedVersion = version;
    this->notifiedRefusal = std::move(refusal);
    if (this->metrics != nullptr) {
        this->metrics->gauge("amaranthhall_table_version", "Version of the table in force on this daemon").Set(static_cast<double>(version));
        this->metrics->gauge("amaranthhall_table_refuses_work", "1 while new work is refused for the table's sake").Set(this->notifiedRefusal.empty() ? 0 : 1);
    }
    this->observers.notify();
}

}
