#include "amaranthhall/soak/soak_run.hpp"

#include "platform/platform_row_reader.hpp"
#include "platform/standin/fleet_rows.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace amaranthhall::soak {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t groupCount = 2;
    constexpr std::size_t organisationCount = 3;
    constexpr catalog::OperationLimit limitOfFirstOrganisation { .perSecond = 20, .burst = 20 };
    constexpr std::size_t limitedCallers = 2; // at least, of the limited organisation: one asks for less than its limit at times
    constexpr Duration withdrawnTime = 7s;
    constexpr Duration restartPause = 300ms;
    constexpr Duration settleTime = 5s; // a change of primary, and a store's pauses
    constexpr Duration calmTime = 2s;
    constexpr Duration startTime = 2500ms;
    constexpr Duration staleAllowance = 1500ms;
    constexpr int portBase = 20'000;
    constexpr int portSpan = 20'000;
    constexpr int portsOfARun = 10;

    /// Each daemon has an address of its own on the loopback network, so that all use the same ports.
    std::string hostOf(std::size_t daemon)
    {
        return "127.0.1." + std::to_string(daemon + 1);
    }

    std::string serviceName(std::size_t group)
    {
        return "svc" + std::to_string(group);
    }

    std::string zoneOf(std::size_t index, std::size_t zones)
    {
        return std::string(1, static_cast<char>('a' + index % zones));
    }

    std::string endpoint(const std::string& host, int port)
    {
        return host + ":" + std::to_string(port);
    }

}

SoakRun::SoakRun(SoakOptions usedOptions)
    : options(std::move(usedOptions))
    , random(this->options.seed)
    , store(this->loop, [this](const auto& service, const auto& candidate) {
        for (const auto& group : this->groups) {
            if (group->idOf(0).starts_with(service + "-"))
                return group->promote(candidate);
        }
        return false;
    })
    , proxy(this->loop, { .listen = { .host = "127.0.0.1" }, .seed = this->options.seed })
    , links(this->loop, this->traffic)
    , context { .loop = this->loop, .links = this->links, .databases = {}, .daemons = {}, .keys = {}, .organisations = this->organisationOracle, .oracle = this->oracle, .commits = [this](const auto& service) { return this->commitsOf(service); } }
{
    std::filesystem::create_directories(this->options.folder);
    this->store.orderDelayed = [this](const auto& candidate, auto delay) { this->isolateBefore(candidate, delay); };
    this->makeOrganisations();
    this->makeGroups();
    this->writeConfiguration();
    this->makeDaemons();
}

SoakRun::~SoakRun() = default;

void SoakRun::makeOrganisations()
{
    if (!this->options.hasOrganisations) {
        this->context.keys.push_back({ .key = "caller", .organisation = {} });
        return;
    }
    for (std::size_t number = 0; number < organisationCount; ++number) {
        fleet::standin::OrganisationRow organisation { .name = "organisation" + std::to_string(number), .keys = {} };
        for (const auto* suffix : { "first", "second" }) {
            organisation.keys.push_back(std::string(keyPrefix) + std::to_string(number) + "-" + suffix);
            this->context.keys.push_back({ .key = organisation.keys.back(), .organisation = organisation.name });
        }
        // Without a limit, the callers of the first organisation would run more operations.
        if (number == 0) {
            organisation.limit = limitOfFirstOrganisation;
            this->context.limitedOrganisation = organisation.name;
        }
        if (organisation.limit)
            this->organisationOracle.setLimit(organisation.name, *organisation.limit);
        this->organisations.push_back(std::move(organisation));
    }
}

/// Withdraws the last organisation's second key for longer than daemons may take to learn of it.
void SoakRun::withdrawKey()
{
    if (this->organisations.empty()) {
        this->writeConfiguration();
        return;
    }
    auto& keys = this->organisations.back().keys;
    if (keys.size() < 2)
        return;
    const auto key = keys.back();
    this->record("withdraw " + key);
    keys.pop_back();
    this->writeConfiguration();
    this->organisationOracle.noteWithdrawn(key, this->loop.now());
    std::erase_if(this->context.keys, [&key](const auto& candidate) { return candidate.key == key; });
    if (this->isHealing)
        return;
    this->later(withdrawnTime, [this, key] {
        this->organisations.back().keys.push_back(key);
        this->context.keys.push_back({ .key = key, .organisation = this->organisations.back().name });
        this->writeConfiguration();
        this->organisationOracle.noteRestored(key);
    });
}

void SoakRun::makeGroups()
{
    for (std::size_t g = 0; g < groupCount; ++g) {
        const auto service = serviceName(g);
        this->groups.push_back(std::make_unique<fleet::standin::LineGroup>(this->loop, fleet::standin::LineGroup::Options { .service = service, .hasSynchronousReplica = this->options.hasSynchronousReplicas }));
        auto& group = *this->groups.back();
        this->proxied.emplace_back();
        for (std::size_t i = 0; i < group.size(); ++i) {
            this->proxied[g].push_back(this->proxy.addRoute(group.idOf(i), { .host = "127.0.0.1", .port = group.portOf(i) }));
            this->registerUpstream(g, i, false);
        }
        if (this->options.hasOrganisations)
            group.ran = [this](const auto& organisation, const auto& id) { this->organisationOracle.noteRun(organisation, id, this->loop.now()); };
        group.changed = [this, g](std::size_t index) { this->registerUpstream(g, index, false); };
        this->context.databases.push_back({ .name = "strict" + std::to_string(g), .group = service });
        this->context.databases.push_back({ .name = "stale" + std::to_string(g), .group = service, .allowance = staleAllowance });
        this->context.databases.push_back({ .name = "own" + std::to_string(g), .group = service, .allowance = staleAllowance, .showsOwnWrites = true });
    }
}

void SoakRun::registerUpstream(std::size_t g, std::size_t index, bool isDraining)
{
    const auto& group = *this->groups[g];
    const auto id = group.idOf(index);
    const auto table = fleet::PlatformRowReader().upstreamTable();
    if (!group.isRunning(index)) {
        this->store.remove(table, id);
        return;
    }
    const catalog::UpstreamEntry entry {
        .id = id,
        .service = serviceName(g),
        .address = { .host = "127.0.0.1", .port = this->proxied[g][index] },
        .zone = zoneOf(index, this->options.zones),
        .role = group.isPrimary(index) ? catalog::Role::Primary : catalog::Role::Replica,
        .draining = isDraining,
        .slots = 2,
        .startedAt = 1,
    };
    this->store.put(table, id, fleet::standin::encodeUpstream(entry, ++this->beats));
}

void SoakRun::writeConfiguration()
{
    constexpr std::uint32_t connections = 60;
    catalog::Configuration configuration { .version = ++this->configurationVersion };
    for (const auto& database : this->context.databases) {
        catalog::Route route { .database = database.name, .service = database.group, .statementTimeout = 800ms, .targetLatency = 200ms, .priority = 1 };
        route.maximumStaleness = std::chrono::duration_cast<std::chrono::milliseconds>(database.allowance);
        if (database.allowance > Duration::zero())
            route.consistency = database.showsOwnWrites ? catalog::Consistency::ReadYourWrites : catalog::Consistency::BoundedStaleness;
        configuration.routes[database.name] = route;
    }
    for (std::size_t g = 0; g < groupCount; ++g)
        configuration.services[serviceName(g)] = { .name = serviceName(g), .maximumConnections = connections, .synchronousReplicas = this->options.hasSynchronousReplicas ? 1U : 0U };
    const fleet::PlatformRowReader rows;
    this->store.put(rows.configurationTable(), rows.configurationKey(), fleet::standin::encodeConfiguration(configuration, this->organisations));
}

void SoakRun::makeDaemons()
{
    const auto base = portBase + (static_cast<int>(getpid()) * portsOfARun) % portSpan;
    for (std::size_t i = 0; i < this->options.daemons; ++i) {
        const auto host = hostOf(i);
        const auto store = this->proxy.addRoute("store/" + std::to_string(i), { .host = "127.0.0.1", .port = this->store.port() });
        Daemon daemon { .vm = "vm" + std::to_string(i), .settings = this->options.folder + "/vm" + std::to_string(i) + ".yaml", .log = this->options.folder + "/vm" + std::to_string(i), .callers = { .host = host, .port = static_cast<std::uint16_t>(base) } };
        std::ofstream file(daemon.settings);
        file << "vm:\n  id: \"" << daemon.vm << "\"\n  zone: \"" << zoneOf(i, this->options.zones) << "\"\nlisten:\n  callers: \"" << endpoint(host, base) << "\"\n  ready: \"" << endpoint(host, base + 1) << "\"\n  peers: \"" << endpoint(host, base + 2)
             << "\"\n  relay: \"" << endpoint(host, base + 3) << "\"\n  metrics: \"" << endpoint(host, base + 4) << "\"\nseeds: [\"" << endpoint(hostOf(0), base + 2) << "\"]\nplatform:\n  store: \""
             << endpoint("127.0.0.1", store) << "\"\n  orders: \"" << endpoint("127.0.0.1", this->store.port()) << "\"\ndrain:\n  daemon: \"6s\"\n  upstream: \"7s\"\n";
        if (this->options.hasOrganisations)
            file << "limits:\n  window: \"5s\"\n  excess: 0.1\n  slack: 20\n";
        daemon.program = this->options.otherProgram.empty() ? this->options.program : this->options.otherProgram;
        this->context.daemons.push_back(daemon.callers);
        this->daemons.push_back(std::move(daemon));
    }
}

void SoakRun::startDaemon(std::size_t index)
{
    auto& daemon = this->daemons[index];
    daemon.isPaused = false;
    daemon.process = std::make_unique<rig::Process>(daemon.program, std::vector<std::string> { "--settings", daemon.settings }, daemon.log + "." + std::to_string(++daemon.starts) + ".log");
}

/// Has one daemon after the other stopped and started with a program.
void SoakRun::replacePrograms(const std::string& program, Duration gap)
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->later(gap * i, [this, i, program] {
            auto& daemon = this->daemons[i];
            this->record("replace " + daemon.vm + " by " + program);
            daemon.program = program;
            if (daemon.process)
                daemon.process->signal(SIGTERM);
        });
    }
}

/// Plans replacements of all daemons by the new build, back by the other one, and by the new one again, within the faults.
void SoakRun::planReplacements()
{
    if (this->options.otherProgram.empty())
        return;
    const Duration span = this->options.length / 3;
    const auto gap = span / (this->daemons.size() + 1);
    this->replacePrograms(this->options.program, gap);
    this->later(span, [this, gap] { this->replacePrograms(this->options.otherProgram, gap); });
    this->later(2 * span, [this, gap] { this->replacePrograms(this->options.program, gap); });
}

/// Starts daemons again that have ended.
void SoakRun::watchDaemons()
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        auto& process = this->daemons[i].process;
        if (!process || process->isRunning())
            continue;
        process.reset();
        this->later(restartPause, [this, i] { this->startDaemon(i); });
    }
}

void SoakRun::later(Duration delay, std::function<void()> action)
{
    this->timers.push_back(this->loop.after(delay, std::move(action)));
}

void SoakRun::healAll()
{
    this->isHealing = true;
    this->timers.clear();
    // Nothing disturbs the daemons from here on, so they must learn of the withdrawal in time.
    this->withdrawKey();
    this->proxy.addRule({ .cut = true });
    this->waitFor(20ms);
    this->proxy.clearRules();
    this->store.setFault(fleet::standin::StoreFault::None);
    this->store.setOrderDelay(std::nullopt);
    for (std::size_t g = 0; g < this->groups.size(); ++g) {
        auto& group = *this->groups[g];
        group.setLag(8ms);
        for (std::size_t i = 0; i < group.size(); ++i) {
            group.setRunning(i, true);
            group.setDark(i, false);
            group.setIsolated(i, false);
            this->registerUpstream(g, i, false);
        }
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (this->daemons[i].process)
            this->daemons[i].process->signal(SIGCONT);
        else
            this->startDaemon(i);
    }
}

std::vector<CommittedWrite> SoakRun::commitsOf(const std::string& service) const
{
    std::vector<CommittedWrite> writes;
    for (const auto& group : this->groups) {
        if (!group->idOf(0).starts_with(service + "-"))
            continue;
        for (const auto& commit : group->commits()) {
            for (const auto& write : commit->writes)
                writes.push_back({ .item = write.item, .data = write.data, .isRolledBack = commit->isRolledBack });
        }
    }
    return writes;
}

void SoakRun::waitFor(Duration span)
{
    const auto end = this->loop.after(span, [this] { this->loop.stop(); });
    this->loop.run();
}

SoakResult SoakRun::run()
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
        this->startDaemon(i);
    const auto watcher = this->loop.every(100ms, [this] { this->watchDaemons(); });
    this->waitFor(startTime);
    for (std::size_t i = 0; i < this->options.callers; ++i)
        this->callers.push_back(std::make_unique<SoakCaller>(this->context, "c" + std::to_string(i), i < limitedCallers ? this->context.limitedOrganisation : std::string(), this->random()));
    this->planReplacements();
    this->injectFault();
    this->waitFor(this->options.length);
    this->healAll();
    this->waitFor(settleTime);
    const auto answered = this->context.answered;
    const auto failed = this->context.failed;
    const auto limited = this->context.limitedAnswered;
    this->waitFor(calmTime);
    const auto calmAnswered = static_cast<double>(this->context.answered - answered);
    const auto calmFailed = static_cast<double>(this->context.failed - failed);
    const auto limitedAnswered = static_cast<double>(this->context.limitedAnswered - limited);
    this->context.isStopping = true;
    this->waitFor(1s);
    SoakResult result { .violations = this->context.violations, .faults = this->faults, .answered = this->context.answered, .failed = this->context.failed };
    if (this->options.hasOrganisations)
        result.limitShare = limitedAnswered / (limitOfFirstOrganisation.perSecond * std::chrono::duration<double>(calmTime).count());
    for (const auto& broken : this->organisationOracle.violations())
        result.violations.push_back(broken);
    for (const auto& broken : this->store.violations())
        result.violations.push_back(broken);
    result.calmShare = calmAnswered + calmFailed > 0 ? calmAnswered / (calmAnswered + calmFailed) : 0;
    for (std::size_t g = 0; g < groupCount; ++g) {
        const auto service = serviceName(g);
        const auto commits = this->commitsOf(service);
        for (auto& wrong : this->oracle.checkWrites(service, commits))
            result.violations.push_back(std::move(wrong));
        if (!this->options.hasSynchronousReplicas)
            continue;
        for (auto& wrong : this->oracle.checkKept(service, commits))
            result.violations.push_back(std::move(wrong));
    }
    return result;
}

}
