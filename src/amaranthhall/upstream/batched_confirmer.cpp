#include "amaranthhall/upstream/batched_confirmer.hpp"

#include <algorithm>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tickInterval = 5ms;
    constexpr auto answerSlack = 200ms; // over the wait that the replica was asked for

    std::string makeQuery(const ConfirmPoll& poll)
    {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(poll.wait).count();
        return "SELECT reached FROM ah_confirm(" + std::to_string(poll.term) + ", " + std::to_string(poll.position) + ", " + std::to_string(wait) + ")";
    }

    /// A write that changed nothing in a new term leaves a record of an older one as the last.
    group::Term termOfCommit(const group::UpstreamView* view, group::LogPoint point)
    {
        const bool isPrimary = view && view->status.role == group::Role::Primary;
        return isPrimary && view->status.last == point ? std::max(view->status.term, point.term) : point.term;
    }

}

struct BatchedConfirmer::Writer {
    group::UpstreamId id;
    ConfirmState state;
    std::vector<std::string> names; ///< Of the replicas, in the order of ConfirmState::replicas.
    std::unordered_map<std::uint64_t, Done> waiting;
};

struct BatchedConfirmer::TermCheck {
    group::GroupId group;
    group::Term term { 0 };
    Time deadline;
    Done done;
};

BatchedConfirmer::BatchedConfirmer(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, std::string usedZone)
    : loop(usedLoop)
    , registry(usedRegistry)
    , zone(std::move(usedZone))
    , alive(std::make_shared<bool>(true))
{
}

BatchedConfirmer::~BatchedConfirmer() = default;

void BatchedConfirmer::start()
{
    this->groups = &this->registry.find<group::GroupSource>("groups");
    this->runner = &this->registry.find<ControlRunner>("dispatch");
    this->groups->onChange([this] { this->takeViews(); });
}

BatchedConfirmer::Writer& BatchedConfirmer::findWriter(const group::UpstreamId& id)
{
    auto& writer = this->writers[id];
    if (!writer) {
        writer = std::make_unique<Writer>();
        writer->id = id;
    }
    return *writer;
}

void BatchedConfirmer::refreshReplicas(Writer& writer)
{
    const auto* view = this->groups->view(writer.id.group);
    if (!view)
        return;
    for (const auto& upstream : view->upstreams) {
        if (upstream.id == writer.id)
            continue;
        const auto found = std::find(writer.names.begin(), writer.names.end(), upstream.id.name);
        const auto index = static_cast<std::size_t>(found - writer.names.begin());
        const bool isNew = found == writer.names.end();
        if (isNew) {
            writer.names.push_back(upstream.id.name);
            writer.state.replicas.emplace_back();
        }
        writer.state.replicas[index].isReachable = upstream.reachability != group::Reachability::Down;
        if (isNew && upstream.zone == this->zone && index > 0 && !writer.state.replicas.front().askedAt) {
            std::swap(writer.names.front(), writer.names[index]);
            std::swap(writer.state.replicas.front(), writer.state.replicas[index]);
        }
    }
}

void BatchedConfirmer::confirm(const group::UpstreamId& id, group::LogPoint point, Time deadline, Done done)
{
    auto& writer = this->findWriter(id);
    this->refreshReplicas(writer);
    const auto* view = this->groups->view(id.group);
    const auto term = termOfCommit(view ? group::findUpstream(*view, id.name) : nullptr, point);
    const auto number = ++this->lastId;
    writer.waiting.emplace(number, std::move(done));
    writer.state.writes.push_back({ .id = number, .term = term, .record = point, .deadline = deadline });
    this->advance(writer);
    if (!this->timer)
        this->timer = this->loop.every(tickInterval, [this] { this->tick(); });
}

void BatchedConfirmer::advance(Writer& writer)
{
    for (const auto& poll : planPolls(writer.state, this->loop.now()))
        this->poll(writer, poll);
}

void BatchedConfirmer::poll(Writer& writer, const ConfirmPoll& poll)
{
    const group::UpstreamId id { .group = writer.id.group, .name = writer.names[poll.replica] };
    this->runner->runControl(id, makeQuery(poll), this->loop.now() + poll.wait + answerSlack, [this, living = std::weak_ptr(this->alive), &writer, name = id.name](const auto& status) {
        if (!living.lock())
            return;
        const auto found = std::find(writer.names.begin(), writer.names.end(), name);
        this->settle(writer, takeAnswer(writer.state, static_cast<std::size_t>(found - writer.names.begin()), status, this->loop.now()));
        this->advance(writer);
    });
}

void BatchedConfirmer::settle(Writer& writer, const std::vector<ConfirmOutcome>& outcomes)
{
    for (const auto& outcome : outcomes) {
        auto waiting = writer.waiting.extract(outcome.id);
        if (!waiting.empty())
            waiting.mapped()(outcome.confirmation);
    }
}

std::vector<BatchedConfirmer::Writer*> BatchedConfirmer::listWaiting() const
{
    std::vector<Writer*> waiting;
    for (const auto& [id, writer] : this->writers) {
        if (!writer->state.writes.empty())
            waiting.push_back(writer.get());
    }
    return waiting;
}

bool BatchedConfirmer::isSuperseded(const Writer& writer) const
{
    const auto* view = this->groups->view(writer.id.group);
    return view && std::any_of(writer.state.writes.begin(), writer.state.writes.end(), [&](const auto& write) { return view->term > write.term; });
}

void BatchedConfirmer::takeViews()
{
    const auto waiting = this->listWaiting();
    if (std::none_of(waiting.begin(), waiting.end(), [this](const auto* writer) { return this->isSuperseded(*writer); }))
        return;
    // The views may change within a caller's call, and no answer may come from there.
    this->loop.post([this, living = std::weak_ptr(this->alive)] {
        if (!living.lock())
            return;
        for (auto* writer : this->listWaiting()) {
            if (const auto* view = this->groups->view(writer->id.group))
                this->settle(*writer, takeTerm(writer->state, view->term));
        }
    });
}

void BatchedConfirmer::tick()
{
    const auto now = this->loop.now();
    for (auto* writer : this->listWaiting()) {
        this->refreshReplicas(*writer);
        this->settle(*writer, expireWrites(writer->state, now));
        this->advance(*writer);
    }
    this->expireChecks(now);
    if (this->checks.empty() && this->listWaiting().empty())
        this->timer.reset();
}

void BatchedConfirmer::expireChecks(Time now)
{
    auto expired = this->checks;
    std::erase_if(expired, [&](const auto& check) { return now < check->deadline; });
    std::erase_if(this->checks, [&](const auto& check) { return now >= check->deadline; });
    for (const auto& check : expired) {
        if (const auto done = std::exchange(check->done, nullptr))
            done(Confirmation::TimedOut);
    }
}

bool BatchedConfirmer::judge(TermCheck& check, std::span<const PulseAnswer> answers)
{
    if (!check.done)
        return true;
    const auto* view = this->groups->view(check.group);
    const auto state = view ? judgeTerm(answers, check.term, view->upstreams.size()) : TermState::Unproven;
    if (state == TermState::Unproven)
        return false;
    std::erase_if(this->checks, [&](const auto& held) { return held.get() == &check; });
    std::exchange(check.done, nullptr)(state == TermState::Current ? Confirmation::Confirmed : Confirmation::Superseded);
    return true;
}

void BatchedConfirmer::confirmTerm(const group::UpstreamId& writer, group::Term term, Time deadline, Done done)
{
    auto& pulse = this->pulses[writer.group];
    if (!pulse)
        pulse = std::make_unique<GroupPulse>(this->loop, *this->groups, *this->runner, writer.group);
    const auto check = std::make_shared<TermCheck>(TermCheck { .group = writer.group, .term = term, .deadline = deadline, .done = std::move(done) });
    this->checks.push_back(check);
    if (!this->timer)
        this->timer = this->loop.every(tickInterval, [this] { this->tick(); });
    pulse->join([this, check](auto answers) { return this->judge(*check, answers); });
}

}
