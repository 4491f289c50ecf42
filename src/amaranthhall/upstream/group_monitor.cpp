#include "amaranthhall/upstream/group_monitor.hpp"

#include "amaranthhall/membership/member_source.hpp"
#include "amaranthhall/membership/role_holders.hpp"
#include "amaranthhall/table/table_source.hpp"
#include "amaranthhall/telemetry/log.hpp"
#include "amaranthhall/upstream/group_exchange.hpp"
#include "amaranthhall/upstream/group_view_builder.hpp"
#include "amaranthhall/upstream/upstream_probe.hpp"

#include <algorithm>
#include <random>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t watchersPerGroup = 3;
    constexpr auto connectTimeout = 1s;

    /// The second probe follows the first this soon after a symptom.
    constexpr auto symptomSpacing = 20ms;

    std::vector<table::UpstreamRow> rowsOf(const table::TableImage& image, const group::GroupId& id)
    {
        std::vector<table::UpstreamRow> rows;
        for (const auto& row : image.upstreams) {
            if (row.id.group == id)
                rows.push_back(row);
        }
        return rows;
    }

    /// Takes up the upstreams of a table and keeps what is known of those that stay.
    void updateUpstreams(FollowedGroup& followed, std::vector<table::UpstreamRow> rows)
    {
        std::vector<group::UpstreamObservation> watches;
        for (const auto& row : rows) {
            const auto* known = group::findObservation(followed.state, row.id.name);
            watches.push_back(known ? *known : group::UpstreamObservation { .name = row.id.name });
        }
        followed.state.upstreams = std::move(watches);
        followed.rows = std::move(rows);
    }

}

GroupMonitor::GroupMonitor(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, const kernel::Settings& usedSettings)
    : loop(usedLoop)
    , registry(usedRegistry)
    , vm(usedSettings.vm.id)
    , settings(usedSettings.upstreams)
    , random(std::random_device {}())
{
}

GroupMonitor::~GroupMonitor() = default;

void GroupMonitor::start()
{
    auto* peers = this->registry.findOptional<peer::PeerNetwork>("peers");
    auto* members = this->registry.findOptional<membership::MemberSource>("members");
    if (peers && members) {
        this->exchange = std::make_unique<GroupExchange>(this->loop, *this, *peers, *members);
        members->onChange([this] { this->takeMembers(); });
    }
    auto& table = this->registry.find<table::TableSource>("table");
    table.onChange([this] { this->takeTable(); });
    this->takeTable();
    this->ticker = this->loop.every(group::tickInterval, [this] { this->tick(); });
}

void GroupMonitor::stop()
{
    this->ticker.reset();
    this->groups.clear();
}

void GroupMonitor::takeTable()
{
    const auto& image = this->registry.find<table::TableSource>("table").image();
    const auto ids = table::listGroups(image);
    std::erase_if(this->groups, [&](const auto& entry) { return std::ranges::find(ids, entry.first) == ids.end(); });
    for (const auto& id : ids) {
        auto& followed = this->groups[id];
        followed.state.self = this->vm;
        auto rows = rowsOf(image, id);
        if (rows == followed.rows)
            continue;
        followed.probes.clear();
        updateUpstreams(followed, std::move(rows));
        followed.view = makeView(followed.state, followed.rows);
    }
    this->takeMembers();
    this->observers.notify();
}

void GroupMonitor::takeMembers()
{
    for (auto& [id, followed] : this->groups)
        this->assignWatchers(followed);
}

void GroupMonitor::assignWatchers(FollowedGroup& followed)
{
    std::vector<std::string> watchers { this->vm };
    if (this->exchange) {
        watchers.clear();
        const auto& members = this->registry.find<membership::MemberSource>("members");
        for (const auto* member : membership::chooseRoleHolders(members.members(), "watch/" + group::formatId(followed.view.id), watchersPerGroup))
            watchers.push_back(member->id);
    }
    this->apply(followed.view.id, group::WatchersChanged { .watchers = std::move(watchers) });
    if (!group::isWatcher(followed.state))
        followed.probes.clear();
    else if (followed.probes.empty())
        this->openProbes(followed);
}

void GroupMonitor::openProbes(FollowedGroup& followed)
{
    const auto& image = this->registry.find<table::TableSource>("table").image();
    const auto id = followed.view.id;
    const auto* service = table::findService(image, id.service);
    for (const auto& row : followed.rows) {
        const auto& name = row.id.name;
        LinkOptions options {
            .address = row.address,
            .database = service ? service->database : "",
            .user = this->settings.user,
            .password = this->settings.password,
            .tlsMode = this->settings.tlsMode,
            .tlsRootCertificate = this->settings.tlsRootCertificate,
            .connectTimeout = connectTimeout,
            .applicationName = "amaranthhall-control/" + this->vm,
        };
        ProbeCallbacks callbacks {
            .sent = [this, id, name] { this->apply(id, group::ProbeSent { .upstream = name }); },
            .answered = [this, id, name](const auto& answer) { this->takeAnswer(id, name, answer); },
            .failed = [this, id, name](auto symptom) { this->apply(id, group::ProbeFailed { .upstream = name, .symptom = symptom }); },
        };
        followed.probes[name] = std::make_unique<UpstreamProbe>(this->loop, std::move(options), std::move(callbacks));
    }
    for (const auto& [name, probe] : followed.probes)
        probe->ask();
}

void GroupMonitor::tick()
{
    for (auto& [id, followed] : this->groups) {
        if (!group::isWatcher(followed.state))
            continue;
        this->apply(id, group::Ticked {});
        for (const auto& [name, probe] : followed.probes)
            probe->askAfter(group::probeInterval(followed.state, name));
    }
    if (this->exchange)
        this->exchange->pull();
}

void GroupMonitor::takeAnswer(const group::GroupId& id, const std::string& upstream, const ControlAnswer& answer)
{
    switch (answer.request.kind) {
    case ControlKind::Status:
        this->apply(id, group::StatusReceived { .upstream = upstream, .status = answer.status, .requestedAt = answer.askedAt, .feedAge = answer.feedAge });
        break;
    case ControlKind::Fence:
        this->apply(id, group::FenceReplied { .upstream = upstream, .term = answer.request.term, .accepted = answer.accepted, .status = answer.status });
        break;
    case ControlKind::Promote:
        this->apply(id, group::PromotionReplied { .upstream = upstream, .term = answer.request.term, .promoted = answer.accepted, .status = answer.status });
        break;
    }
}

void GroupMonitor::apply(const group::GroupId& id, const group::GroupEvent& event)
{
    const auto found = this->groups.find(id);
    if (found == this->groups.end())
        return;
    auto& followed = found->second;
    const auto actions = group::step(followed.state, event, this->loop.now(), this->random);
    const auto before = std::pair(followed.view.term, followed.view.primary);
    if (!std::holds_alternative<group::Ticked>(event) || !actions.empty())
        followed.view = makeView(followed.state, followed.rows);
    for (const auto& action : actions)
        this->carryOut(followed, action);
    if (before != std::pair(followed.view.term, followed.view.primary)) {
        telemetry::logEvent(telemetry::LogLevel::Info, "group.view_changed", { { "group", group::formatId(id) }, { "term", followed.view.term }, { "primary", followed.view.primary.value_or("") } });
        if (this->exchange && group::isWatcher(followed.state))
            this->exchange->tellView(followed);
    }
    const bool hasChanged = std::ranges::any_of(actions, [](const auto& action) { return std::holds_alternative<group::ViewChanged>(action); });
    if (hasChanged || std::holds_alternative<group::StatusReceived>(event))
        this->observers.notify();
}

void GroupMonitor::carryOut(FollowedGroup& followed, const group::GroupAction& action)
{
    this->logAction(followed, action);
    // A probe reports back into apply(), so that orders go out on the next turn.
    const auto later = [this, id = followed.view.id](const std::string& name, auto call) {
        this->loop.post([this, id, name, call] {
            const auto group = this->groups.find(id);
            if (group == this->groups.end())
                return;
            if (const auto probe = group->second.probes.find(name); probe != group->second.probes.end())
                call(*probe->second);
        });
    };
    if (const auto* ask = std::get_if<group::ProbeNow>(&action)) {
        later(ask->upstream, [](auto& probe) { probe.askAfter(symptomSpacing); });
    } else if (const auto* fence = std::get_if<group::RequestFence>(&action)) {
        later(fence->upstream, [term = fence->term](auto& probe) { probe.order({ .kind = ControlKind::Fence, .term = term }); });
    } else if (const auto* promote = std::get_if<group::RequestPromotion>(&action)) {
        later(promote->upstream, [term = promote->term](auto& probe) { probe.order({ .kind = ControlKind::Promote, .term = term }); });
    } else if (const auto* vote = std::get_if<group::BroadcastVote>(&action); vote && this->exchange) {
        this->exchange->tellVote(followed, *vote);
    }
}

void GroupMonitor::logAction(const FollowedGroup& followed, const group::GroupAction& action) const
{
    const auto id = group::formatId(followed.view.id);
    if (const auto* fence = std::get_if<group::RequestFence>(&action))
        telemetry::logEvent(telemetry::LogLevel::Info, "group.fence", { { "group", id }, { "upstream", fence->upstream }, { "term", fence->term } });
    else if (const auto* promote = std::get_if<group::RequestPromotion>(&action))
        telemetry::logEvent(telemetry::LogLevel::Info, "group.promote", { { "group", id }, { "upstream", promote->upstream }, { "term", promote->term } });
}

const group::GroupView* GroupMonitor::view(const group::GroupId& id) const noexcept
{
    const auto found = this->groups.find(id);
    if (found == this->groups.end())
        return nullptr;
    found->second.usedAt = this->loop.now();
    return &found->second.view;
}

void GroupMonitor::report(const group::UpstreamId& id, group::Symptom symptom)
{
    const auto found = this->groups.find(id.group);
    if (found == this->groups.end() || symptom == group::Symptom::Healthy)
        return;
    if (this->exchange)
        this->exchange->tellSymptom(found->second, id.name, symptom);
    this->apply(id.group, group::SymptomReported { .upstream = id.name, .symptom = symptom });
}

void GroupMonitor::observe(const group::UpstreamId& id, const group::UpstreamStatus& status)
{
    this->apply(id.group, group::StatusReceived { .upstream = id.name, .status = status });
}

}
