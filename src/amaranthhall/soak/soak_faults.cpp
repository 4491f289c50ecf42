// Faults that a soak draws.

#include "amaranthhall/soak/soak_run.hpp"

#include <algorithm>
#include <csignal>

namespace amaranthhall::soak {

namespace {

    using namespace std::chrono_literals;
    using fleet::standin::StoreFault;

    constexpr Duration faultGap = 600ms;
    constexpr Duration isolationAfterOrder = 600ms; // until the candidate leads, at least
    constexpr Duration supersededPause = 700ms; // longer than a promotion takes

}

void SoakRun::record(const std::string& fault)
{
    this->faults.push_back(fault);
    this->organisationOracle.noteDisturbance(this->loop.now());
}

void SoakRun::injectFault()
{
    if (this->isHealing)
        return;
    switch (this->random() % (this->options.hasSynchronousReplicas ? 6 : 4)) {
    case 0:
        this->injectDaemonFault();
        break;
    case 1:
        this->injectStoreFault();
        break;
    case 2:
        this->injectUpstreamFault();
        break;
    case 3:
        this->injectNetworkFault();
        break;
    default:
        this->injectLateOrders();
    }
    this->later(faultGap, [this] { this->injectFault(); });
}

void SoakRun::injectDaemonFault()
{
    const auto index = this->random() % this->daemons.size();
    auto& daemon = this->daemons[index];
    if (!daemon.process)
        return;
    switch (this->random() % 3) {
    case 0:
        this->record("kill " + daemon.vm);
        daemon.process->signal(SIGKILL);
        return;
    case 1:
        this->record("stop " + daemon.vm);
        daemon.process->signal(SIGTERM);
        return;
    default:
        this->record("pause " + daemon.vm);
        daemon.process->signal(SIGSTOP);
        this->later(std::chrono::milliseconds(300 + this->random() % 1500), [this, index] {
            if (this->daemons[index].process)
                this->daemons[index].process->signal(SIGCONT);
        });
    }
}

void SoakRun::injectStoreFault()
{
    const auto kind = this->random() % 8;
    if (kind >= 6) {
        if (!this->options.hasSynchronousReplicas)
            this->injectStoreCopy();
        return;
    }
    if (kind == 4) {
        this->record("store forgets its history");
        this->store.forgetHistory();
        return;
    }
    if (kind == 5) {
        this->withdrawKey();
        return;
    }
    this->record("store fault " + std::to_string(kind + 1));
    this->store.setFault(static_cast<StoreFault>(kind + 1));
    this->later(std::chrono::milliseconds(500 + this->random() % 2000), [this] { this->store.setFault(StoreFault::None); });
}

/// Has the store away for a moment and back from a copy; now and then twice, with a change of configuration or beside another fault.
void SoakRun::injectStoreCopy()
{
    const Duration away = std::chrono::milliseconds(200 + this->random() % 800);
    const Duration age = std::chrono::milliseconds(500 + this->random() % 5000);
    const Duration rewriteAfter = std::chrono::milliseconds(100 + this->random() % 1500);
    this->record("store comes back from a copy");
    this->store.setFault(StoreFault::Unavailable);
    this->later(away, [this, age, rewriteAfter] {
        this->store.restoreCopy(age, rewriteAfter);
        this->store.setFault(StoreFault::None);
    });
    switch (this->random() % 4) {
    case 0:
        this->later(away + rewriteAfter / 2, [this, age, rewriteAfter] { this->store.restoreCopy(age / 2, rewriteAfter); });
        return;
    case 1:
        this->writeConfiguration();
        return;
    case 2:
        this->injectUpstreamFault();
        return;
    default:
        this->injectDaemonFault();
    }
}

/// Leaves orders unanswered for a while, has a primary replaced or crash meanwhile, and carries the orders out late.
void SoakRun::injectLateOrders()
{
    const Duration lateness = std::chrono::milliseconds(1500 + this->random() % 11'500);
    const Duration span = std::chrono::milliseconds(800 + this->random() % 2500);
    this->record("orders are carried out " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(lateness).count()) + " ms late");
    this->store.setOrderDelay(lateness);
    this->later(span, [this] { this->store.setOrderDelay(std::nullopt); });
    const auto g = this->random() % this->groups.size();
    const auto index = this->groups[g]->primary();
    if (this->random() % 2 == 0) {
        this->registerUpstream(g, index, true);
        this->later(span, [this, g, index] { this->registerUpstream(g, index, false); });
    } else {
        this->groups[g]->setRunning(index, false);
        this->later(span / 2, [this, g, index] { this->groups[g]->setRunning(index, true); });
    }
    this->injectUpstreamFault();
}

/// Has the candidate of a late order receive nothing for a while before and after the order is carried out.
void SoakRun::isolateBefore(const std::string& candidate, Duration delay)
{
    for (auto& group : this->groups) {
        for (std::size_t i = 0; i < group->size(); ++i) {
            if (group->idOf(i) != candidate || this->isHealing)
                continue;
            const Duration lead = std::min<Duration>(delay, std::chrono::milliseconds(200 + this->random() % 1500));
            this->later(delay - lead, [group = group.get(), i] { group->setIsolated(i, i != group->primary()); });
            this->later(delay + isolationAfterOrder, [group = group.get(), i] { group->setIsolated(i, false); });
        }
    }
}

void SoakRun::injectUpstreamFault()
{
    const auto g = this->random() % this->groups.size();
    auto& group = *this->groups[g];
    const auto index = this->random() % 3 == 0 ? this->random() % group.size() : group.primary();
    const Duration span = std::chrono::milliseconds(500 + this->random() % 2500);
    const auto name = group.idOf(index);
    switch (this->random() % 6) {
    case 0:
        this->record("crash " + name);
        group.setRunning(index, false);
        this->later(span, [&group, index] { group.setRunning(index, true); });
        return;
    case 1:
        this->record("dark " + name);
        group.setDark(index, true);
        this->later(span, [&group, index] { group.setDark(index, false); });
        return;
    case 2:
        this->record("isolate " + name);
        group.setIsolated(index, true);
        this->later(span, [&group, index] { group.setIsolated(index, false); });
        return;
    case 3:
        this->record("lag " + name);
        group.setLag(800ms);
        this->later(span, [&group] { group.setLag(8ms); });
        return;
    case 4:
        this->supersede(g, span);
        return;
    default:
        this->record("drain " + name);
        this->registerUpstream(g, index, true);
        this->later(span, [this, g, index] { this->registerUpstream(g, index, false); });
    }
}

/// Has a primary replaced that is cut from its group and goes on serving, while a daemon that believes in it is cut from the store and paused.
void SoakRun::supersede(std::size_t g, Duration span)
{
    auto& group = *this->groups[g];
    const auto index = group.primary();
    const auto daemon = this->random() % this->daemons.size();
    const auto route = "store/" + std::to_string(daemon);
    this->record("supersede " + group.idOf(index) + " unseen by " + this->daemons[daemon].vm);
    group.setIsolated(index, true);
    this->proxy.addRule({ .route = route, .toSource = { .drop = true } });
    if (this->daemons[daemon].process)
        this->daemons[daemon].process->signal(SIGSTOP);
    this->registerUpstream(g, index, true);
    this->later(supersededPause, [this, daemon] {
        if (this->daemons[daemon].process)
            this->daemons[daemon].process->signal(SIGCONT);
    });
    this->later(supersededPause + span, [this, g, index, route] {
        this->groups[g]->setIsolated(index, false);
        this->registerUpstream(g, index, false);
        this->proxy.addRule({ .route = route, .cut = true });
        this->later(20ms, [this] { this->proxy.clearRules(); });
    });
}

void SoakRun::injectNetworkFault()
{
    auto& group = *this->groups[this->random() % this->groups.size()];
    standin::FaultRule rule { .route = group.idOf(this->random() % group.size()) };
    if (this->random() % 4 == 0)
        rule.route = "store/" + std::to_string(this->random() % this->daemons.size());
    switch (this->random() % 4) {
    case 0:
        rule.cut = true;
        break;
    case 1:
        rule.toTarget.delay = rule.toSource.delay = 40ms;
        rule.toSource.jitter = 30ms;
        break;
    case 2:
        rule.toSource.drop = true;
        break;
    default:
        rule.toTarget.drop = true;
    }
    this->record("network " + standin::encodeRule(rule));
    this->proxy.addRule(rule);
    // What a silenced connection has lost never comes, so its connections end with the fault.
    this->later(std::chrono::milliseconds(300 + this->random() % 1200), [this, route = rule.route] {
        this->proxy.addRule({ .route = route, .cut = true });
        this->later(20ms, [this] { this->proxy.clearRules(); });
    });
}

}
