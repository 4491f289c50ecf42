#include "amaranthhall/share/io/share_service.hpp"

#include "amaranthhall/peer/message_authentication.hpp"
#include "amaranthhall/share/message_json.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>

namespace amaranthhall::share {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tickInterval = 50ms;
    constexpr std::string_view rowKey = "shares/epoch";
    constexpr auto connectTimeout = 1s;

    std::uint64_t readWallClock()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

}

ShareService::ShareService(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, ShareServiceOptions usedOptions)
    : loop(usedLoop)
    , registry(usedRegistry)
    , options(std::move(usedOptions))
    , random(std::random_device {}())
    , node(makeShareNode({ .vm = this->options.vm, .started = readWallClock() }, this->options.shares))
    , running(std::make_shared<bool>(false))
{
}

ShareService::~ShareService() = default;

void ShareService::start()
{
    this->peers = &this->registry.find<peer::PeerNetwork>("peers");
    this->platform = &this->registry.find<platform::Platform>("platform");
    this->table = &this->registry.find<table::TableSource>("table");
    this->members = &this->registry.find<membership::MemberSource>("members");
    this->metrics = &this->registry.find<telemetry::Metrics>("metrics");
    this->node = makeShareNode({ .vm = this->options.vm, .started = this->node.ledger.self.started, .address = this->peers->listenAddress() }, this->options.shares);
    *this->running = true;
    for (const auto method : listMethods())
        this->serve(method);
    this->table->onChange([this] { this->takeTable(); });
    this->members->onChange([this] { this->takeMembers(); });
    this->takeTable();
    this->takeMembers();
    this->timer = this->loop.every(tickInterval, [this] { this->act([this](auto& actions) { tickNode(this->node, this->loop.now(), this->random, actions); }); });
}

void ShareService::stop()
{
    *this->running = false;
    this->timer.reset();
    this->releases.clear();
    this->tickets.clear();
}

void ShareService::serve(std::string_view method)
{
    this->peers->serve(std::string(method), [this, method](const peer::Json& parameters, const peer::PeerNetwork::Reply& reply) {
        const auto request = decodeRequest(method, parameters);
        if (!request || !*this->running) {
            reply(tl::unexpected(peer::PeerError { .message = "malformed" }));
            return;
        }
        const auto ticket = ++this->lastTicket;
        this->tickets[ticket] = [reply](const Response& response) { reply(encodeResponse(response)); };
        this->act([&](auto& actions) { receiveRequest(this->node, ticket, *request, this->loop.now(), actions); });
    });
}

std::uint32_t ShareService::allowance(const group::UpstreamId& id) const noexcept
{
    return computeAllowance(this->node.ledger, id, this->loop.now());
}

bool ShareService::isReady() const noexcept
{
    const auto& ledger = this->node.ledger;
    const auto now = this->loop.now();
    return isLeaseValid(ledger, now) && std::all_of(ledger.epoch.limits.begin(), ledger.epoch.limits.end(), [&](const auto& limit) {
        return usablePart(ledger.options, limit.second) <= ledger.peers.size() || (ledger.holdings.contains(limit.first) && ledger.holdings.at(limit.first).tokens > 0);
    });
}

void ShareService::reportUse(const group::UpstreamId& id, const ShareUse& use)
{
    this->act([&](auto& actions) { receiveUse(this->node, id, use, this->loop.now(), actions); });
}

void ShareService::act(const std::function<void(Actions&)>& decide)
{
    Actions actions;
    decide(actions);
    for (const auto& action : actions)
        std::visit([this](const auto& order) { this->perform(order); }, action);
    this->publish();
}

void ShareService::perform(const Send& order)
{
    const auto method = nameMethod(order.request);
    this->peers->call(order.to, method, encodeRequest(order.request), order.timeout, [this, alive = this->running, id = order.id, method](const peer::PeerResult& result) {
        if (!*alive)
            return;
        const auto response = result ? decodeResponse(method, *result) : std::nullopt;
        this->act([&](auto& actions) { receiveResponse(this->node, id, response, this->loop.now(), actions); });
    });
}

void ShareService::perform(const Reply& reply)
{
    const auto found = this->tickets.find(reply.ticket);
    if (found == this->tickets.end())
        return;
    const auto answer = std::move(found->second);
    this->tickets.erase(found);
    answer(reply.response);
}

void ShareService::perform(const ReadRecord&)
{
    this->platform->readRow(rowKey, [this, alive = this->running, startedAt = this->loop.now()](const platform::PlatformResult<platform::Row>& row) {
        if (!*alive)
            return;
        if (row)
            this->takeRow(row->version, row->value, startedAt);
        else if (row.error() == platform::PlatformError::NotFound)
            this->takeRow(0, {}, startedAt);
    });
}

void ShareService::takeRow(std::uint64_t version, const std::string& value, Time startedAt)
{
    const auto record = version == 0 ? std::nullopt : decodeRecord(nlohmann::json::parse(value, nullptr, false));
    if (version != 0 && !record) {
        telemetry::logEvent(telemetry::LogLevel::Error, "share.row_malformed", { { "version", version } });
        return;
    }
    receiveRow(this->node, version, record, startedAt, this->loop.now());
    this->publish();
}

void ShareService::perform(const WriteRecord& order)
{
    const platform::Transaction transaction {
        .requestId = peer::makeNonce(),
        .conditions = { { .key = std::string(rowKey), .version = order.expectedVersion } },
        .puts = { { .key = std::string(rowKey), .value = encodeRecord(order.record).dump() } },
    };
    this->platform->commit(transaction, [this, alive = this->running](const platform::PlatformResult<std::vector<platform::Row>>& rows) {
        if (!*alive)
            return;
        if (rows && !rows->empty())
            receiveWritten(this->node.dealer, WriteOutcome::Written, rows->front().version, this->loop.now());
        else if (!rows)
            receiveWritten(this->node.dealer, rows.error() == platform::PlatformError::Conflict ? WriteOutcome::Conflict : WriteOutcome::Unknown, 0, this->loop.now());
    });
}

void ShareService::perform(const ReadVms&)
{
    this->platform->listVms([this, alive = this->running](const platform::PlatformResult<std::vector<platform::VmEntry>>& vms) {
        if (!*alive || !vms)
            return;
        std::set<std::string> ids;
        for (const auto& vm : *vms)
            ids.insert(vm.id);
        receiveVms(this->node, std::move(ids));
    });
}

void ShareService::perform(const Release& order)
{
    const auto* row = table::findUpstream(this->table->image(), order.upstream);
    const auto* service = table::findService(this->table->image(), order.upstream.group.service);
    auto& release = this->releases[{ order.vm, order.upstream }];
    if (!row || !service || release)
        return;
    telemetry::logEvent(telemetry::LogLevel::Info, "share.releasing", { { "vm", order.vm }, { "upstream", group::formatId(order.upstream) } });
    upstream::LinkOptions link {
        .address = row->address,
        .database = service->database,
        .user = this->options.upstreams.user,
        .password = this->options.upstreams.password,
        .tlsMode = this->options.upstreams.tlsMode,
        .tlsRootCertificate = this->options.upstreams.tlsRootCertificate,
        .connectTimeout = connectTimeout,
        .applicationName = "amaranthhall-control",
    };
    release = std::make_unique<ConnectionRelease>(this->loop, std::move(link), order.vm, [this, alive = this->running, order](bool isReleased) {
        if (*alive)
            this->endRelease(order, isReleased);
    });
    release->start();
}

void ShareService::endRelease(const Release& order, bool isReleased)
{
    this->releases.erase({ order.vm, order.upstream });
    if (isReleased)
        receiveReleased(this->node.dealer, order.vm, order.upstream);
}

void ShareService::takeTable()
{
    this->node.limits.clear();
    for (const auto& row : this->table->image().upstreams)
        this->node.limits[row.id] = row.connectionLimit;
}

void ShareService::takeMembers()
{
    receiveMembers(this->node, this->members->members());
}

void ShareService::publish()
{
    Counts now;
    for (const auto& [id, holding] : this->node.ledger.holdings)
        now[id] = this->allowance(id);
    if (this->publishedEpoch != this->node.ledger.epoch.epoch) {
        this->publishedEpoch = this->node.ledger.epoch.epoch;
        telemetry::logEvent(telemetry::LogLevel::Info, "share.epoch", { { "epoch", this->publishedEpoch } });
    }
    if (now == this->published || this->publishPosted)
        return;
    // Pools report their use from within a change, so they hear of it on a later turn.
    this->publishPosted = true;
    this->loop.post([this, alive = this->running, now = std::move(now)] {
        this->publishPosted = false;
        if (!*alive)
            return;
        this->published = now;
        for (const auto& [id, count] : now)
            this->metrics->gauge("amaranthhall_share_connections", "Connections that this daemon may have", { { "upstream", group::formatId(id) } }).Set(count);
        this->observers.notify();
    });
}

}
