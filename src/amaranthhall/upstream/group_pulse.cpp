#include "amaranthhall/upstream/group_pulse.hpp"

#include <algorithm>
#include <iterator>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr auto answerTimeout = 250ms;
    constexpr auto retryDelay = 10ms; // between rounds that proved nothing

}

std::optional<group::LogPoint> proveBarrier(std::span<const PulseAnswer> answers) noexcept
{
    const PulseAnswer* primary = nullptr;
    group::Term highest = 0;
    for (const auto& answer : answers) {
        highest = std::max(highest, answer.status.term);
        const bool isNewer = !primary || answer.status.term > primary->status.term;
        if (answer.status.role == group::Role::Primary && isNewer)
            primary = &answer;
    }
    if (!primary || primary->status.term < highest)
        return std::nullopt;
    const bool isWitnessed = std::any_of(answers.begin(), answers.end(), [&](const auto& answer) { return &answer != primary && answer.status.term == primary->status.term; });
    return isWitnessed ? std::optional(primary->status.last) : std::nullopt;
}

TermState judgeTerm(std::span<const PulseAnswer> answers, group::Term term, std::size_t upstreams) noexcept
{
    std::size_t same = 0;
    for (const auto& answer : answers) {
        if (answer.status.term > term)
            return TermState::Superseded;
        if (answer.status.term == term)
            ++same;
    }
    return same > upstreams / 2 ? TermState::Current : TermState::Unproven;
}

GroupPulse::GroupPulse(kernel::Loop& usedLoop, group::GroupSource& usedGroups, ControlRunner& usedRunner, group::GroupId usedGroup)
    : loop(usedLoop)
    , groups(usedGroups)
    , runner(usedRunner)
    , group(std::move(usedGroup))
    , alive(std::make_shared<bool>(true))
{
}

void GroupPulse::join(Judge judge)
{
    this->next.push_back(std::move(judge));
    if (!this->isRunning && !this->retryTimer)
        this->startRound();
}

void GroupPulse::startRound()
{
    this->retryTimer.reset();
    this->isRunning = true;
    ++this->round;
    this->answers.clear();
    this->outstanding = 0;
    this->current = std::move(this->next);
    this->next.clear();
    if (const auto* view = this->groups.view(this->group)) {
        for (const auto& upstream : view->upstreams) {
            if (upstream.reachability != group::Reachability::Down)
                this->ask(upstream.id);
        }
    }
    if (this->outstanding == 0)
        this->endRound();
}

void GroupPulse::ask(const group::UpstreamId& id)
{
    if (!this->unanswered.insert(id.name).second)
        return;
    ++this->outstanding;
    this->runner.runControl(id, "", this->loop.now() + answerTimeout, [this, living = std::weak_ptr(this->alive), name = id.name, askedIn = this->round](const auto& status) {
        if (living.lock())
            this->take(name, askedIn, status);
    });
}

void GroupPulse::take(const std::string& name, std::uint64_t askedIn, const std::optional<group::UpstreamStatus>& status)
{
    this->unanswered.erase(name);
    if (askedIn != this->round || !this->isRunning)
        return;
    --this->outstanding;
    if (status)
        this->answers.push_back({ .upstream = name, .status = *status });
    auto judged = std::move(this->current);
    this->current.clear();
    std::erase_if(judged, [this](const auto& judge) { return judge(this->answers); });
    this->current = std::move(judged);
    if (this->current.empty() || this->outstanding == 0)
        this->endRound();
}

void GroupPulse::endRound()
{
    this->isRunning = false;
    const bool isSettled = this->current.empty();
    std::move(this->current.begin(), this->current.end(), std::back_inserter(this->next));
    this->current.clear();
    if (this->next.empty())
        return;
    if (isSettled)
        this->startRound();
    else
        this->startLater();
}

void GroupPulse::startLater()
{
    this->retryTimer = this->loop.after(retryDelay, [this] { this->startRound(); });
}

}
