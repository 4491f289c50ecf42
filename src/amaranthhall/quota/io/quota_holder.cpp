#include "amaranthhall/quota/io/quota_holder.hpp"

#include "amaranthhall/kernel/random_seed.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::quota {

namespace {

    using namespace std::chrono_literals;
    using telemetry::logEvent;
    using telemetry::LogLevel;

    constexpr std::size_t maximumWaiters = 128; // of one organisation
    constexpr Duration replyTimeout = 20ms; // a round trip takes about 1 ms
    constexpr unsigned sendsPerTarget = 3;
    constexpr unsigned maximumTargets = 4; // per request, redirects included
    constexpr Duration avoidance = 1s; // of a daemon that did not reply
    constexpr Duration isolationPause = 250ms; // until an owner is asked again after none replied
    constexpr Duration unsupportedTimeout = 1s; // a new owner may have to wait for the leases of a killed one, which takes half of it
    constexpr Duration logInterval = 1s; // of the refusals of one organisation
    constexpr Duration unusedTimeout = 60s;

    void noteUnreachable(GrantRequestMessage& request, const std::string& vm)
    {
        if (std::find(request.unreachable.begin(), request.unreachable.end(), vm) == request.unreachable.end())
            request.unreachable.push_back(vm);
    }

}

QuotaHolder::QuotaHolder(kernel::Loop& usedLoop, Transport& usedTransport, WindowBound usedBound, Environment usedEnvironment, telemetry::Metrics& metrics)
    : loop(usedLoop)
    , transport(usedTransport)
    , bound(usedBound)
    , environment(std::move(usedEnvironment))
    , instance(kernel::randomSeed())
    , isolationPhase(static_cast<double>(this->instance % 1024) / 1024)
    , admitted(metrics.counter("amaranthhall_quota_admitted_total", "Operations of organisations that were admitted"))
    , refused(metrics.counter("amaranthhall_quota_refused_total", "Operations of organisations that were refused at their limit"))
    , isolatedAdmissions(metrics.counter("amaranthhall_quota_isolated_total", "Operations of organisations that were admitted without reaching the owner of the limit"))
    , requests(metrics.counter("amaranthhall_quota_requests_total", "Requests to the owners of limits"))
{
}

void QuotaHolder::admit(const engine::Operation& operation, engine::OperationLimiter::Done done)
{
    auto found = this->accounts.find(operation.organisation);
    if (found == this->accounts.end()) {
        found = this->accounts.emplace(operation.organisation, Account {}).first;
        found->second.organisation = operation.organisation;
    }
    auto& account = found->second;
    account.limit = operation.limit;
    const auto now = this->transport.now();
    const auto step = takeToken(account.held, now);
    if (step == Step::Admit && shouldAskAhead(account.held, now))
        this->ask(account);
    if (step != Step::Wait) {
        this->finish(account, step == Step::Admit, done);
        return;
    }
    if (now < account.isolatedUntil) {
        this->finish(account, this->admitIsolated(account), done);
        return;
    }
    if (account.waiters.size() >= maximumWaiters) {
        this->finish(account, false, done);
        return;
    }
    const auto position = std::find_if(account.waiters.begin(), account.waiters.end(), [&](const Waiter& other) { return operation.isUrgent && !other.isUrgent; });
    account.waiters.insert(position, { .isUrgent = operation.isUrgent, .done = std::move(done) });
    if (!account.held.isAsking)
        this->ask(account);
}

void QuotaHolder::finish(Account& account, bool isAdmitted, const engine::OperationLimiter::Done& done)
{
    (isAdmitted ? this->admitted : this->refused).Increment();
    const auto now = this->transport.now();
    if (!isAdmitted && now - account.loggedAt >= logInterval) {
        account.loggedAt = now;
        logEvent(LogLevel::Warning, "quota.limit_reached", { { "organisation", account.organisation }, { "per_second", account.limit.perSecond }, { "owner", account.target.vm }, { "isolated", now < account.isolatedUntil }, { "demand_per_second", account.held.demandPerSecond } });
    }
    done(isAdmitted);
}

bool QuotaHolder::admitIsolated(Account& account)
{
    const auto room = divideRoom(account.limit, this->bound, this->transport.daemons());
    const bool isAdmitted = takeIsolated(account.held, room, this->bound, this->isolationPhase, this->transport.now());
    if (isAdmitted)
        this->isolatedAdmissions.Increment();
    return isAdmitted;
}

void QuotaHolder::ask(Account& account)
{
    account.request = {
        .request = nextRequest(account.held, static_cast<std::uint32_t>(account.waiters.size()), this->transport.now()),
        .instance = this->instance,
        .limit = account.limit,
        .configurationVersion = this->environment.configurationVersion(),
        .daemons = static_cast<std::uint32_t>(this->transport.daemons()),
    };
    this->requests.Increment();
    account.targets = 0;
    this->askNextTarget(account);
}

bool QuotaHolder::isAvoided(const std::string& vm) const
{
    const auto found = this->avoidedUntil.find(vm);
    return found != this->avoidedUntil.end() && this->transport.now() < found->second;
}

std::optional<QuotaHolder::Target> QuotaHolder::chooseTarget(Account& account)
{
    const auto isUsable = [&](const std::string& vm) {
        const auto& unreachable = account.request.unreachable;
        return !this->isAvoided(vm) && std::find(unreachable.begin(), unreachable.end(), vm) == unreachable.end();
    };
    if (account.redirect && isUsable(account.redirect->vm))
        return account.redirect;
    for (const auto& vm : this->transport.ranking(account.organisation)) {
        if (!isUsable(vm)) {
            noteUnreachable(account.request, vm);
            continue;
        }
        if (const auto address = this->transport.addressOf(vm))
            return Target { .vm = vm, .address = *address };
    }
    return std::nullopt;
}

void QuotaHolder::askNextTarget(Account& account)
{
    auto target = account.targets++ < maximumTargets ? this->chooseTarget(account) : std::nullopt;
    if (!target) {
        this->becomeIsolated(account, "no owner replied");
        return;
    }
    account.target = *std::move(target);
    account.sends = 0;
    this->sendRequest(account);
}

void QuotaHolder::sendRequest(Account& account)
{
    ++account.sends;
    account.timer = this->loop.after(replyTimeout, [this, &account] { this->onTimeout(account); });
    this->transport.send(account.target.address, account.organisation, account.request);
}

void QuotaHolder::onTimeout(Account& account)
{
    if (account.sends < sendsPerTarget) {
        this->sendRequest(account);
        return;
    }
    logEvent(LogLevel::Info, "quota.owner_silent", { { "organisation", account.organisation }, { "vm", account.target.vm } });
    this->avoidedUntil[account.target.vm] = this->transport.now() + avoidance;
    noteUnreachable(account.request, account.target.vm);
    account.redirect.reset();
    this->askNextTarget(account);
}

/// Serves what waits from this daemon's part of the room, because no owner replies or the owner has no support.
void QuotaHolder::becomeIsolated(Account& account, std::string_view reason)
{
    account.timer.reset();
    account.held.isAsking = false;
    const auto now = this->transport.now();
    account.isolatedUntil = now + isolationPause;
    if (now - account.isolationLoggedAt >= logInterval) {
        account.isolationLoggedAt = now;
        logEvent(LogLevel::Warning, "quota.isolated", { { "organisation", account.organisation }, { "reason", reason } });
    }
    for (const auto& waiter : std::exchange(account.waiters, {}))
        this->finish(account, this->admitIsolated(account), waiter.done);
}

void QuotaHolder::onGrant(const Message& message, const GrantMessage& content)
{
    const auto found = this->accounts.find(message.organisation);
    if (found == this->accounts.end())
        return;
    auto& account = found->second;
    if (!account.held.isAsking || content.grant.sequence != account.held.sequence)
        return;
    if (!content.redirectVm.empty()) {
        if (message.sender != account.target.vm)
            return;
        account.redirect = Target { .vm = content.redirectVm, .address = content.redirectAddress };
        this->askNextTarget(account);
        return;
    }
    account.timer.reset();
    applyGrant(account.held, content.grant);
    if (content.grant.isUnsupported) {
        this->onUnsupported(account);
        return;
    }
    if (std::exchange(account.unsupportedSince, Time::max()) != Time::max())
        account.redirect = account.target;
    this->serveWaiters(account, content.grant.tokens == 0);
}

/// Asks another daemon if the owner has lacked votes for long: it may be cut off from its voters, and another owner may be reachable.
void QuotaHolder::onUnsupported(Account& account)
{
    const auto now = this->transport.now();
    account.held.refusedUntil = {};
    account.unsupportedSince = std::min(account.unsupportedSince, now);
    if (now - account.unsupportedSince < unsupportedTimeout) {
        this->becomeIsolated(account, "the owner has too few votes");
        return;
    }
    account.held.isAsking = true;
    account.redirect.reset();
    noteUnreachable(account.request, account.target.vm);
    this->askNextTarget(account);
}

void QuotaHolder::serveWaiters(Account& account, bool isRefused)
{
    std::vector<engine::OperationLimiter::Done> granted;
    const auto now = this->transport.now();
    while (!account.waiters.empty() && takeGranted(account.held, now)) {
        granted.push_back(std::move(account.waiters.front().done));
        account.waiters.pop_front();
    }
    auto remaining = isRefused ? std::exchange(account.waiters, {}) : std::deque<Waiter> {};
    if (!account.waiters.empty())
        this->ask(account);
    for (const auto& done : granted)
        this->finish(account, true, done);
    for (const auto& waiter : remaining)
        this->finish(account, false, waiter.done);
}

void QuotaHolder::removeUnused()
{
    const auto now = this->transport.now();
    std::erase_if(this->accounts, [now](const auto& item) { return !item.second.held.isAsking && now - item.second.held.demandAt > unusedTimeout; });
    std::erase_if(this->avoidedUntil, [now](const auto& item) { return now >= item.second; });
}

}
