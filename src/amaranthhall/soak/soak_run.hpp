#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/rig/process.hpp"
#include "amaranthhall/soak/soak_caller.hpp"
#include "amaranthhall/standin/fault_proxy.hpp"
#include "platform/line_link.hpp"
#include "platform/standin/fleet_rows.hpp"
#include "platform/standin/fleet_store.hpp"
#include "platform/standin/line_group.hpp"

#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::soak {

/// @brief First part of all API keys of a run; no daemon may write it anywhere.
inline constexpr std::string_view keyPrefix = "soak-key-";

/// @brief How a soak is run.
struct SoakOptions {
    std::uint64_t seed { 1 };
    std::chrono::milliseconds length { 10'000 }; ///< With faults; a calm end follows.
    std::size_t daemons { 5 };
    std::size_t callers { 20 };
    std::size_t zones { 1 }; ///< Over which daemons and upstreams are spread.
    std::string program; ///< Path of the gateway.
    std::string otherProgram; ///< Path of a gateway of another build; if not empty, the daemons start with it and are replaced one after the other, and back again.
    bool hasOrganisations { true }; ///< Whether callers need keys; earlier builds know no organisations.
    bool hasSynchronousReplicas { false }; ///< Whether commits are confirmed by a replica too; orders then get no answer at times, and the store loses nothing.
    std::string folder; ///< For settings and logs.
};

/// @brief What a soak found.
struct SoakResult {
    std::vector<std::string> violations;
    std::vector<std::string> faults; ///< Injected, in order.
    std::uint64_t answered { 0 };
    std::uint64_t failed { 0 };
    double calmShare { 0 }; ///< Operations that succeeded in the calm end, but for those of the limited organisation.
    double limitShare { 1 }; ///< Operations of the limited organisation in the calm end, as a share of what its limit allows.
};

/// @brief Real gateways as processes, between callers and stand-ins, under faults drawn by a seed.
class SoakRun {
public:
    explicit SoakRun(SoakOptions options);
    ~SoakRun();

    /// @brief Runs to the end; throws std::runtime_error if a gateway does not start.
    [[nodiscard]] SoakResult run();

private:
    struct Daemon {
        std::string vm;
        std::string settings;
        std::string log;
        kernel::Address callers;
        std::string program;
        std::unique_ptr<rig::Process> process;
        int starts { 0 };
        bool isPaused { false };
    };

    void makeGroups();
    void makeDaemons();
    void startDaemon(std::size_t index);
    void watchDaemons();
    void replacePrograms(const std::string& program, Duration gap);
    void planReplacements();
    void registerUpstream(std::size_t group, std::size_t index, bool isDraining);
    void makeOrganisations();
    void writeConfiguration();
    void withdrawKey();
    void injectFault();
    void injectDaemonFault();
    void injectStoreFault();
    void injectStoreCopy();
    void injectLateOrders();
    void isolateBefore(const std::string& candidate, Duration delay);
    void injectUpstreamFault();
    void supersede(std::size_t g, Duration span);
    void injectNetworkFault();
    void later(Duration delay, std::function<void()> action);
    void healAll();
    [[nodiscard]] std::vector<CommittedWrite> commitsOf(const std::string& service) const;
    void waitFor(Duration span);
    void record(const std::string& fault);

    SoakOptions options;
    kernel::Loop loop;
    Random random;
    std::vector<std::unique_ptr<fleet::standin::LineGroup>> groups;
    fleet::standin::FleetStore store;
    standin::FaultProxy proxy;
    telemetry::ZoneTraffic traffic;
    fleet::LineLinkFactory links;
    Oracle oracle;
    OrganisationOracle organisationOracle;
    std::vector<fleet::standin::OrganisationRow> organisations;
    CallerContext context;
    std::vector<Daemon> daemons;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    std::vector<std::vector<std::uint16_t>> proxied; ///< Port before each upstream, by group.
    std::list<kernel::Registration> timers;
    std::vector<std::string> faults;
    std::uint64_t configurationVersion { 0 };
    std::uint64_t beats { 0 };
    bool isHealing { false };
};

}
