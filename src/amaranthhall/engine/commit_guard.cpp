#include "amaranthhall/engine/commit_guard.hpp"

#include "amaranthhall/telemetry/log.hpp"

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

}

CommitInclusion inclusionOf(const group::LogPoint& commit, const group::LogPoint& end) noexcept
{
    if (end.term > commit.term)
        return CommitInclusion::Unknown;
    return end >= commit ? CommitInclusion::Included : CommitInclusion::Pending;
}

void CommitGuard::expectPromotion(const std::string& service, const std::string& candidate, Time until)
{
    auto& state = this->services[service];
    if (state.candidate != candidate && hasSynchronousReplicas(this->catalog, service))
        telemetry::logEvent(telemetry::LogLevel::Info, "commits.awaiting_candidate", { { "service", service }, { "candidate", candidate } });
    state.candidate = candidate;
    state.until = std::max(state.until, until);
}

bool CommitGuard::mustHold(std::string_view service, std::string_view upstream) const
{
    const auto found = this->services.find(service);
    const bool isExpected = found != this->services.end() && this->loop.now() < found->second.until;
    return isExpected && found->second.candidate != upstream && hasSynchronousReplicas(this->catalog, service);
}

void CommitGuard::hold(const std::string& service, HeldCommit commit)
{
    auto& state = this->services[service];
    state.held.push_back(std::move(commit));
    if (!state.timer)
        state.timer = this->loop.after(Duration::zero(), [this, service] { this->poll(service); });
}

void CommitGuard::poll(const std::string& service)
{
    auto& state = this->services[service];
    std::erase_if(state.held, [now = this->loop.now()](const auto& commit) { return commit.deadline <= now; });
    state.timer.reset();
    if (state.held.empty())
        return;
    state.timer = this->loop.after(pollInterval, [this, service] { this->poll(service); });
    state.query = this->dispatcher.queryStatus(service, state.candidate, this->loop.now() + statusTimeout, [this, service, candidate = state.candidate](const auto& status) { this->onStatus(service, candidate, status); });
}

void CommitGuard::onStatus(const std::string& service, const std::string& candidate, const std::optional<UpstreamStatus>& status)
{
    auto& state = this->services[service];
    if (!status || candidate != state.candidate)
        return;
    const auto isPending = [&](const auto& commit) { return inclusionOf(commit.point, status->received) == CommitInclusion::Pending; };
    const auto resolved = std::stable_partition(state.held.begin(), state.held.end(), isPending);
    std::vector<HeldCommit> decided(std::make_move_iterator(resolved), std::make_move_iterator(state.held.end()));
    state.held.erase(resolved, state.held.end());
    for (const auto& commit : decided)
        commit.done(inclusionOf(commit.point, status->received) == CommitInclusion::Included);
}

}
