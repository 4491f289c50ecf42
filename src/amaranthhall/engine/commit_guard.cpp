#include "amaranthhall/engine/commit_guard.hpp"

#include <algorithm>
#include <iterator>
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

    bool contains(const std::vector<std::string>& names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
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

bool CommitGuard::mustHold(const std::string& service, const std::string& upstream) const
{
    if (!hasSynchronousReplicas(this->catalog, service))
        return false;
    const auto awaited = this->candidates(service);
    return std::any_of(awaited.begin(), awaited.end(), [&upstream](const auto& candidate) { return candidate != upstream; });
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
    for (const auto& candidate : this->candidates(service)) {
        const bool isAwaited = std::any_of(state.held.begin(), state.held.end(), [&](const auto& waiting) { return waiting.commit.upstream != candidate && !contains(waiting.includedIn, candidate); });
        if (isAwaited)
            this->query(service, candidate);
    }
}

/// Asks a candidate for its position, unless it has been asked and may still answer.
void CommitGuard::query(const std::string& service, const std::string& candidate)
{
    const auto now = this->loop.now();
    auto& query = this->services[service].queries[candidate];
    if (query.isPending && now - query.askedAt < statusTimeout)
        return;
    query.isPending = true;
    query.askedAt = now;
    query.ticket = this->dispatcher.queryStatus(service, candidate, now + statusTimeout, [this, service, candidate](const auto& status) { this->onStatus(service, candidate, status); });
}

void CommitGuard::onStatus(const std::string& service, const std::string& candidate, const std::optional<UpstreamStatus>& status)
{
    auto& state = this->services[service];
    state.queries[candidate].isPending = false;
    if (!status)
        return;
    const auto inclusion = [&](const Waiting& waiting) { return inclusionOf(waiting.commit.point, status->received); };
    for (auto& waiting : state.held) {
        if (inclusion(waiting) == CommitInclusion::Included && !contains(waiting.includedIn, candidate))
            waiting.includedIn.push_back(candidate);
    }
    const auto doubtful = extractIf(state.held, [&](const Waiting& waiting) {
        return waiting.commit.upstream != candidate && !contains(waiting.includedIn, candidate) && inclusion(waiting) == CommitInclusion::Unknown;
    });
    for (const auto& waiting : doubtful)
        waiting.commit.done(false);
    this->complete(service);
}

/// Reports the commits that all candidates have.
void CommitGuard::complete(const std::string& service)
{
    const auto awaited = this->candidates(service);
    const auto included = extractIf(this->services[service].held, [&](const Waiting& waiting) {
        return std::all_of(awaited.begin(), awaited.end(), [&](const auto& candidate) { return candidate == waiting.commit.upstream || contains(waiting.includedIn, candidate); });
    });
    for (const auto& waiting : included)
        waiting.commit.done(true);
}

}
