#include "amaranthhall/engine/commit_guard.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration pollInterval = 20ms; // between two queries of a candidate, which take one of its slots
    constexpr Duration statusTimeout = 100ms;

    bool hasSynchronousReplicas(const catalog::Catalog& catalog, std::string_view service)
    {
        const auto configuration = catalog.configuration();
        const auto* spec = configuration ? configuration->findService(service) : nullptr;
        return spec && spec->synchronousReplicas > 0;
    }

    /// Moves the items that a predicate selects out of a list.
    template <typename Item, typename Predicate>
    std::vector<Item> extractIf(std::vector<Item>& items, Predicate isSelected)
    {
        const auto first = std::stable_partition(items.begin(), items.end(), [&](const auto& item) { return !isSelected(item); });
        std::vector<Item> selected(std::make_move_iterator(first), std::make_move_iterator(items.end()));
        items.erase(first, items.end());
        return selected;
    }

}

CommitInclusion inclusionOf(const group::LogPoint& commit, const group::LogPoint& end) noexcept
{
    if (end.term > commit.term)
        return CommitInclusion::Unknown;
    return end >= commit ? CommitInclusion::Included : CommitInclusion::Pending;
}

bool CommitGuard::mustHold(const std::string& service, const std::string& upstream, Time sentAt) const
{
    if (!hasSynchronousReplicas(this->catalog, service))
        return false;
    const auto candidates = this->candidates.candidatesOf(service);
    const bool isOtherAwaited = std::any_of(candidates.upstreams.begin(), candidates.upstreams.end(), [&upstream](const auto& candidate) { return candidate != upstream; });
    return isOtherAwaited || sentAt < candidates.unchangedSince;
}

void CommitGuard::hold(const std::string& service, HeldCommit commit)
{
    auto& state = this->services[service];
    state.held.push_back({ .commit = std::move(commit) });
    if (!state.timer)
        state.timer = this->loop.after(Duration::zero(), [this, service] { this->poll(service); });
}

std::size_t CommitGuard::heldCount() const noexcept
{
    std::size_t count = 0;
    for (const auto& [service, state] : this->services)
        count += state.held.size();
    return count;
}

void CommitGuard::poll(const std::string& service)
{
    auto& state = this->services[service];
    std::erase_if(state.held, [now = this->loop.now()](const auto& waiting) { return waiting.commit.deadline <= now; });
    this->complete(service);
    state.timer.reset();
    if (state.held.empty())
        return;
    state.timer = this->loop.after(pollInterval, [this, service] { this->poll(service); });
    const auto candidates = this->candidates.candidatesOf(service);
    std::set<std::string> awaited;
    for (const auto& waiting : state.held) {
        for (const auto& candidate : candidates.upstreams) {
            if (lacks(waiting, candidate))
                awaited.insert(candidate);
        }
        if (mustStillLead(waiting, candidates.unchangedSince))
            awaited.insert(waiting.commit.upstream);
    }
    for (const auto& upstream : awaited)
        this->query(service, upstream);
}

/// Returns whether a candidate was not seen to have a commit.
bool CommitGuard::lacks(const Waiting& waiting, const std::string& candidate)
{
    return waiting.commit.upstream != candidate && std::find(waiting.includedIn.begin(), waiting.includedIn.end(), candidate) == waiting.includedIn.end();
}

/// Returns whether the upstream that confirmed a commit must be seen to lead after the candidates have changed.
bool CommitGuard::mustStillLead(const Waiting& waiting, Time changedAt)
{
    return std::max(waiting.commit.sentAt, waiting.ledAt.value_or(waiting.commit.sentAt)) < changedAt;
}

/// Asks an upstream for its position, unless it has been asked and may still answer.
void CommitGuard::query(const std::string& service, const std::string& upstream)
{
    const auto now = this->loop.now();
    auto& query = this->services[service].queries[upstream];
    if (query.isPending && now - query.askedAt < statusTimeout)
        return;
    query.isPending = true;
    query.askedAt = now;
    query.ticket = this->dispatcher.queryStatus(service, upstream, now + statusTimeout, [this, service, upstream](const auto& status) {
        this->services[service].queries[upstream].isPending = false;
        if (status)
            this->onStatus(service, upstream, *status);
    });
}

void CommitGuard::onStatus(const std::string& service, const std::string& upstream, const UpstreamStatus& status)
{
    auto& state = this->services[service];
    this->dispatcher.noteTerm(service, status.term);
    const auto askedAt = state.queries[upstream].askedAt;
    const auto newestTerm = this->dispatcher.newestTerm(service);
    const auto isDoubtful = [&](const Waiting& waiting) {
        if (waiting.commit.upstream == upstream)
            return !status.isPrimary || status.term < newestTerm || inclusionOf(waiting.commit.point, status.received) != CommitInclusion::Included;
        return lacks(waiting, upstream) && inclusionOf(waiting.commit.point, status.received) == CommitInclusion::Unknown;
    };
    const auto doubtful = extractIf(state.held, isDoubtful);
    for (auto& waiting : state.held) {
        if (waiting.commit.upstream == upstream)
            waiting.ledAt = askedAt;
        else if (lacks(waiting, upstream) && inclusionOf(waiting.commit.point, status.received) == CommitInclusion::Included)
            waiting.includedIn.push_back(upstream);
    }
    for (const auto& waiting : doubtful)
        waiting.commit.done(false);
    this->complete(service);
}

/// Reports the commits that can be acknowledged.
void CommitGuard::complete(const std::string& service)
{
    const auto candidates = this->candidates.candidatesOf(service);
    const auto isSafe = [&](const Waiting& waiting) {
        const bool isAwaited = std::any_of(candidates.upstreams.begin(), candidates.upstreams.end(), [&](const auto& candidate) { return lacks(waiting, candidate); });
        return !isAwaited && !mustStillLead(waiting, candidates.unchangedSince);
    };
    const auto safe = extractIf(this->services[service].held, isSafe);
    for (const auto& waiting : safe)
        waiting.commit.done(true);
}

}
