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
    , node(makeShareNode({ .vm = this->options.vm, .startTime = readWallClock() }, this->options.shares))
    , isRunning(std::make_shared<bool>(false))
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
    this->node = makeShareNode({ .vm = this->options.vm, .startTime = this->node.ledger.self.startTime, .address = this->peers->listenAddress() }, this->options.shares);
    *this->isRunning = true;
    for (const auto method : listMethods())
        this->serveMethod(method);
    this->table->onChange([this] { this->applyTable(); });
    this->members->onChange([this] { this->applyMembers(); });
    this->applyTable();
    this->applyMembers();
    this->timer = this->loop.every(tickInterval, [this] { this->execute([this](auto& actions) { tickNode(this->node, this->loop.now(), this->random, actions); }); });
}

void ShareService::stop()
{
    *this->isRunning = false;
    this->timer.reset();
    this->releases.clear();
    this->pendingReplies.clear();
}

void ShareService::serveMethod(std::string_view method)
{
    this->peers->serve(std::string(method), [this, method](const peer::Json& parameters, const peer::PeerNetwork::Reply& reply) {
        const auto request = decodeRequest(method, parameters);
        if (!request || !*this->isRunning) {
            reply(tl::unexpected(peer::PeerError { .message = "malformed" }));
            return;
        }
        const auto ticket = ++this->lastTicket;
        this->pendingReplies[ticket] = [reply](const Response& response) { reply(encodeResponse(response)); };
        this->execute([&](auto& actions) { receiveRequest(this->node, ticket, *request, this->loop.now(), actions); });
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
        return usableLimit(ledger.options, limit.second) <= ledger.peers.size() || (ledger.holdings.contains(limit.first) && ledger.holdings.at(limit.first).tokens > 0);
    });
}

void ShareService::reportUse(const group::UpstreamId& id, const ShareUse& use)
{
    this->execute([&](auto& actions) { receiveUse(this->node, id, use, this->loop.now(), actions); });
}

void ShareService::execute(const std::function<void(Actions&)>& update)
{
    Actions actions;
    update(actions);
    for (const auto& action : actions)
        std::visit([this](const auto& command) { this->perform(command); }, action);
    this->publishAllowances();
}

void ShareService::perform(const SendRequest& command)
{
    const auto method = nameMethod(command.request);
    this->peers->call(command.to, method, encodeRequest(command.request), command.timeout, [this, runningFlag = this->isRunning, id = command.id, method](const peer::PeerResult& result) {
        if (!*runningFlag)
            return;
        const auto response = result ? decodeResponse(method, *result) : std::nullopt;
        this->execute([&](auto& actions) { receiveResponse(this->node, id, response, this->loop.now(), actions); });
    });
}

void ShareService::perform(const SendReply& reply)
{
    const auto found = this->pendingReplies.find(reply.ticket);
    if (found == this->pendingReplies.end())
        return;
    const auto respond = std::move(found->second);
    this->pendingReplies.erase(found);
    respond(reply.response);
}

void ShareService::perform(const ReadRecord&)
{
    this->platform->readRow(rowKey, [this, runningFlag = this->isRunning, startedAt = this->loop.now()](const platform::PlatformResult<platform::Row>& row) {
        if (!*runningFlag)
            return;
        if (row)
            this->applyRow(row->version, row->value, startedAt);
        else if (row.error() == platform::PlatformError::NotFound)
            this->applyRow(0, {}, startedAt);
    });
}

void ShareService::applyRow(std::uint64_t version, const std::string& value, Time startedAt)
{
    const auto record = version == 0 ? std::nullopt : decodeRecord(nlohmann::json::parse(value, nullptr, false));
    if (version != 0 && !record) {
        telemetry::logEvent(telemetry::LogLevel::Error, "share.row_malformed", { { "version", version } });
        return;
    }
    receiveRow(this->node, version, record, startedAt, this->loop.now());
    this->publishAllowances();
}

void ShareService::perform(const WriteRecord& command)
{
    const platform::Transaction transaction {
        .requestId = peer::makeNonce(),
        .conditions = { { .key = std::string(rowKey), .version = command.expectedVersion } },
        .puts = { { .key = std::string(rowKey), .value = encodeRecord(command.record).dump() } },
    };
    this->platform->commit(transaction, [this, runningFlag = this->isRunning](const platform::PlatformResult<std::vector<platform::Row>>& rows) {
        if (!*runningFlag)
            return;
        if (rows && !rows->empty())
            receiveWriteResult(this->node.coordinator, WriteOutcome::Written, rows->front().version, this->loop.now());
        else if (!rows)
            receiveWriteResult(this->node.coordinator, rows.error() == platform::PlatformError::Conflict ? WriteOutcome::Conflict : WriteOutcome::Unknown, 0, this->loop.now());
    });
}

void ShareService::perform(const ListVms&)
{
    this->platform->listVms([this, runningFlag = this->isRunning](const platform::PlatformResult<std::vector<platform::VmEntry>>& vms) {
        if (!*runningFlag || !vms)
            return;
        std::set<std::string> ids;
        for (const auto& vm : *vms)
            ids.insert(vm.id);
        receiveVms(this->node, std::move(ids));
    });
}

void ShareService::perform(const ReleaseConnections& command)
{
    const auto* row = table::findUpstream(this->table->image(), command.upstream);
    const auto* service = table::findService(this->table->image(), command.upstream.group.service);
    auto& release = this->releases[{ command.vm, command.upstream }];
    if (!row || !service || release)
        return;
    telemetry::logEvent(telemetry::LogLevel::Info, "share.releasing", { { "vm", command.vm }, { "upstream", group::formatId(command.upstream) } });
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
    release = std::make_unique<ConnectionRelease>(this->loop, std::move(link), command.vm, [this, runningFlag = this->isRunning, command](bool isReleased) {
        if (*runningFlag)
            this->finishRelease(command, isReleased);
    });
    release->start();
}

void ShareService::finishRelease(const ReleaseConnections& command, bool isReleased)
{
    this->releases.erase({ command.vm, command.upstream });
    if (isReleased)
        receiveReleaseConfirmation(this->node.coordinator, command.vm, command.upstream);
}

void ShareService::applyTable()
{
    this->node.limits.clear();
    for (const auto& row : this->table->image().upstreams)
        this->node.limits[row.id] = row.connectionLimit;
}

void ShareService::applyMembers()
{
    receiveMembers(this->node, this->members->members());
}

void ShareService::publishAllowances()
{
    ConnectionCounts allowances;
    for (const auto& [id, holding] : this->node.ledger.holdings)
        allowances[id] = this->allowance(id);
    if (this->publishedEpoch != this->node.ledger.epoch.epoch) {
        this->publishedEpoch = this->node.ledger.epoch.epoch;
        telemetry::logEvent(telemetry::LogLevel::Info, "share.epoch", { { "epoch", this->publishedEpoch } });
    }
    if (allowances == this->publishedAllowances || this->isPublicationPending)
        return;
    // Observers are notified from the loop, as pools call reportUse() from within a change of their state.
    this->isPublicationPending = true;
    this->loop.post([this, runningFlag = this->isRunning, allowances = std::move(allowances)] {
        this->isPublicationPending = false;
        if (!*runningFlag)
            return;
        this->publishedAllowances = allowances;
        for (const auto& [id, count] : allowances)
            this->metrics->gauge("amaranthhall_share_connections", "Connections that this daemon may have", { { "upstream", group::formatId(id) } }).Set(count);
        this->observers.notify();
    });
}

}
