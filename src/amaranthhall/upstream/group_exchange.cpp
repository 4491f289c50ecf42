#include "amaranthhall/upstream/group_exchange.hpp"

#include "amaranthhall/upstream/group_codec.hpp"
#include "amaranthhall/upstream/group_monitor.hpp"

#include <algorithm>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;
    using peer::Json;

    constexpr auto callTimeout = 500ms;
    constexpr auto pullInterval = 1s;
    constexpr auto useMemory = 30s; // a group without work for this long is no longer asked for
    constexpr auto followerMemory = 5s;
    constexpr std::size_t fanOut = 16;

    void ignore(const peer::PeerResult&) { }

    std::size_t firstTurn(const std::string& self)
    {
        return std::hash<std::string> {}(self);
    }

}

GroupExchange::GroupExchange(kernel::Loop& usedLoop, GroupMonitor& usedMonitor, peer::PeerNetwork& usedPeers, membership::MemberSource& usedMembers)
    : loop(usedLoop)
    , monitor(usedMonitor)
    , peers(usedPeers)
    , members(usedMembers)
{
    this->serve();
}

void GroupExchange::serve()
{
    const auto guarded = [](auto handle) {
        return [handle](const Json& parameters, const peer::PeerNetwork::Reply& reply) {
            try {
                handle(parameters, reply);
            } catch (const Json::exception& exception) {
                reply(tl::unexpected(peer::PeerError { .code = peer::PeerErrorCode::Failed, .message = exception.what() }));
            }
        };
    };
    this->peers.serve("group.suspect", guarded([this](const Json& parameters, const auto& reply) {
        const auto vote = decodeVote(parameters);
        this->monitor.apply(vote.group, vote.event);
        reply(Json::object());
    }));
    this->peers.serve("group.report", guarded([this](const Json& parameters, const auto& reply) {
        const auto report = decodeReport(parameters);
        this->monitor.apply(report.group, report.event);
        reply(Json::object());
    }));
    this->peers.serve("group.view", guarded([this](const Json& parameters, const auto& reply) {
        this->takeView(parameters);
        reply(Json::object());
    }));
    this->peers.serve("group.pull", guarded([this](const Json& parameters, const auto& reply) { this->takePull(parameters, reply); }));
}

const kernel::Address* GroupExchange::findAddress(const std::string& member) const
{
    const auto all = this->members.members();
    const auto found = std::ranges::find(all, member, &membership::Member::id);
    return found == all.end() ? nullptr : &found->peer;
}

void GroupExchange::tellVote(const FollowedGroup& followed, const group::BroadcastVote& vote)
{
    for (const auto& watcher : followed.state.watchers) {
        const auto* address = watcher == followed.state.self ? nullptr : this->findAddress(watcher);
        if (address)
            this->peers.call(*address, "group.suspect", encodeVote(followed.view.id, followed.state.self, vote), callTimeout, ignore);
    }
}

void GroupExchange::tellSymptom(const FollowedGroup& followed, const std::string& upstream, group::Symptom symptom)
{
    for (const auto& watcher : followed.state.watchers) {
        const auto* address = watcher == followed.state.self ? nullptr : this->findAddress(watcher);
        if (address)
            this->peers.call(*address, "group.report", encodeReport({ .group = followed.view.id, .name = upstream }, symptom), callTimeout, ignore);
    }
    this->pulled[followed.view.id].askedAt = {};
}

void GroupExchange::tellView(const FollowedGroup& followed)
{
    std::vector<kernel::Address> targets;
    const auto now = this->loop.now();
    std::map<std::string, Time> told;
    for (const auto& watcher : followed.state.watchers)
        told[watcher] = now;
    if (const auto found = this->followers.find(followed.view.id); found != this->followers.end()) {
        std::erase_if(found->second, [now](const auto& follower) { return now - follower.second > followerMemory; });
        told.insert(found->second.begin(), found->second.end());
    }
    for (const auto& [member, at] : told) {
        if (const auto* address = member == followed.state.self ? nullptr : this->findAddress(member))
            targets.push_back(*address);
    }
    this->spread(encodePrimary(followed.state, followed.view.id), targets);
}

void GroupExchange::spread(const Json& view, const std::vector<kernel::Address>& targets)
{
    const auto direct = std::min(fanOut, targets.size());
    for (std::size_t i = 0; i < direct; ++i) {
        auto parameters = view;
        auto relay = Json::array();
        for (auto next = i + direct; next < targets.size(); next += direct)
            relay.push_back(kernel::formatAddress(targets[next]));
        parameters["relay"] = std::move(relay);
        this->peers.call(targets[i], "group.view", std::move(parameters), callTimeout, ignore);
    }
}

void GroupExchange::takeView(const Json& parameters)
{
    const auto told = decodePrimary(parameters);
    std::vector<kernel::Address> relay;
    for (const auto& text : parameters.at("relay")) {
        if (const auto address = kernel::parseAddress(text.get<std::string>()))
            relay.push_back(*address);
    }
    this->spread(parameters, relay);
    this->monitor.apply(told.group, told.event);
}

void GroupExchange::takePull(const Json& parameters, const peer::PeerNetwork::Reply& reply)
{
    const auto from = parameters.at("from").get<std::string>();
    auto views = Json::array();
    for (const auto& item : parameters.at("groups")) {
        const auto id = decodeGroupId(item);
        const auto found = this->monitor.followed().find(id);
        if (found == this->monitor.followed().end() || !group::isWatcher(found->second.state))
            continue;
        this->followers[id][from] = this->loop.now();
        views.push_back(encodeState(found->second.state, id, this->loop.now()));
    }
    reply(Json { { "views", std::move(views) } });
}

void GroupExchange::pull()
{
    const auto now = this->loop.now();
    std::map<std::string, std::vector<group::GroupId>> wanted;
    for (const auto& [id, followed] : this->monitor.followed()) {
        const auto& watchers = followed.state.watchers;
        if (now - followed.usedAt > useMemory || group::isWatcher(followed.state) || watchers.empty())
            continue;
        auto& pull = this->pulled[id];
        if (pull.isWaiting || now - pull.askedAt < pullInterval)
            continue;
        pull.isWaiting = true;
        pull.askedAt = now;
        wanted[watchers[(firstTurn(followed.state.self) + pull.turn) % watchers.size()]].push_back(id);
    }
    for (const auto& [watcher, ids] : wanted)
        this->pullFrom(watcher, ids);
}

void GroupExchange::pullFrom(const std::string& watcher, const std::vector<group::GroupId>& ids)
{
    const auto finish = [this, ids](bool succeeded) {
        for (const auto& id : ids) {
            auto& pull = this->pulled[id];
            pull.isWaiting = false;
            if (!succeeded) {
                ++pull.turn;
                pull.askedAt = {};
            }
        }
    };
    const auto* address = this->findAddress(watcher);
    if (!address) {
        finish(false);
        return;
    }
    auto groups = Json::array();
    for (const auto& id : ids)
        groups.push_back(encodeGroupId(id));
    this->peers.call(*address, "group.pull", { { "from", this->members.self().id }, { "groups", std::move(groups) } }, callTimeout,
        [this, finish, askedAt = this->loop.now(), count = ids.size()](const peer::PeerResult& result) {
            const bool isWhole = result && result->contains("views") && result->at("views").size() == count;
            finish(isWhole);
            if (result)
                this->takePulled(*result, askedAt);
        });
}

void GroupExchange::takePulled(const Json& answer, Time askedAt)
{
    try {
        for (const auto& view : answer.at("views")) {
            for (const auto& told : decodeState(view, askedAt))
                this->monitor.apply(told.group, told.event);
        }
    } catch (const Json::exception&) {
        return; // A malformed answer tells nothing; the next pull asks again.
    }
}

}
