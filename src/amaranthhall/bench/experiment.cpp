#include "amaranthhall/bench/experiment.hpp"

#include "amaranthhall/bench/fault_plan.hpp"
#include "amaranthhall/bench/gap.hpp"
#include "amaranthhall/bench/load_generator.hpp"
#include "amaranthhall/bench/read_back.hpp"
#include "amaranthhall/rig/caller.hpp"
#include "amaranthhall/rig/cluster.hpp"

#include <stdexcept>
#include <thread>

namespace amaranthhall::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr auto settleLimit = 30s; // for what arrived before the load ended
    constexpr auto gapWindow = 16s; // the users' bound on a change of primary
    constexpr auto tableLimit = 20s;
    constexpr std::size_t harmNotesKept = 20;

    rig::ClusterOptions makeClusterOptions(const ExperimentOptions& options)
    {
        return {
            .binaries = options.binaries,
            .workFolder = options.workFolder,
            .service = options.profile.service,
            .zones = options.profile.zones,
            .instances = options.profile.instances,
            .daemons = options.profile.daemons,
            .connectDelay = options.profile.connectDelay,
            .connectionLimit = options.profile.connectionLimit,
            .faultProxy = true,
        };
    }

    void say(const ExperimentOptions& options, const std::string& line)
    {
        if (options.progress)
            options.progress(line);
    }

    void createTable(rig::Cluster& cluster, const ExperimentOptions& options, std::size_t instance)
    {
        const auto until = Clock::now() + tableLimit;
        std::string problem;
        while (Clock::now() < until) {
            rig::Caller caller(cluster.daemons().front().callerPort, options.profile.service + ":" + std::to_string(instance));
            const auto answer = caller.run("CREATE TABLE IF NOT EXISTS entries (id text, caller integer, seq integer, part integer)");
            if (answer.succeeded)
                return;
            problem = answer.sqlstate + " " + answer.message;
            std::this_thread::sleep_for(100ms);
        }
        throw std::runtime_error("the table cannot be made: " + problem);
    }

    std::string describe(const HarmNote& note, Time begin)
    {
        const auto second = [&](Time moment) { return std::to_string(std::chrono::duration<double>(moment - begin).count()); };
        return note.what + "; caller " + std::to_string(note.caller) + ", instance " + std::to_string(note.instance) + ", from " + second(note.arrived) + " s to " + second(note.ended) + " s";
    }

    /// Runs the load and the faults on one loop.
    class Run {
    public:
        Run(const ExperimentOptions& usedOptions, rig::Cluster& usedCluster)
            : options(usedOptions)
            , cluster(usedCluster)
            , faultRandom(usedOptions.seed + 1)
            , load(this->loop, usedOptions.profile, usedOptions.seed, [this] { return this->daemonAddresses(); })
        {
        }

        void execute(RunResult& result)
        {
            const auto begin = this->beganAt = this->loop.now();
            this->scheduleFaults(result, begin);
            const auto progress = this->loop.every(5s, [&] { this->tellProgress(begin); });
            const auto end = this->loop.after(this->options.length, [this] { this->load.stop(); });
            const auto idle = this->loop.every(50ms, [&] {
                if (this->loop.now() > begin + this->options.length && this->load.isIdle())
                    this->loop.stop();
            });
            const auto limit = this->loop.after(this->options.length + settleLimit, [this] { this->loop.stop(); });
            this->load.start();
            this->loop.run();
            if (!this->load.isIdle())
                throw std::runtime_error("operations were still without an answer when the settling time ended:" + this->load.describeWaits());
            result.seconds = std::chrono::duration<double>(this->loop.now() - begin).count();
            addHistory(result, this->load.history(), begin);
            this->measureGaps(result);
        }

        [[nodiscard]] const History& history() const { return this->load.history(); }
        [[nodiscard]] Time begin() const noexcept { return this->beganAt; }

    private:
        struct StoppedPrimary {
            std::size_t note;
            std::size_t instance;
            Time moment;
        };

        void scheduleFaults(RunResult& result, Time begin)
        {
            for (auto& fault : planFaults(this->options.name, this->cluster, this->options.length, this->faultRandom)) {
                const auto at = fault.at;
                this->timers.push_back(this->loop.after(at, [this, &result, begin, fault = std::move(fault)] { this->beginFault(result, begin, fault); }));
            }
        }

        void beginFault(RunResult& result, Time begin, const PlannedFault& fault)
        {
            say(this->options, fault.what);
            const auto moment = this->loop.now();
            fault.begin();
            if (fault.stopsInstance != 0)
                this->stopped.push_back({ .note = result.faults.size(), .instance = fault.stopsInstance, .moment = moment });
            result.faults.push_back({ .second = std::chrono::duration<double>(moment - begin).count(), .what = fault.what, .stopsWrites = fault.stopsInstance != 0 });
        }

        void measureGaps(RunResult& result)
        {
            std::vector<double> gaps;
            for (const auto& item : this->stopped) {
                const auto gap = measureGap(this->load.history(), item.instance, item.moment, gapWindow);
                if (!gap)
                    continue;
                result.faults[item.note].gapMillis = static_cast<double>(gap->count());
                gaps.push_back(static_cast<double>(gap->count()));
            }
            result.failoverGap = computeQuantiles(std::move(gaps));
        }

        void tellProgress(Time begin)
        {
            const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(this->loop.now() - begin).count();
            say(this->options, std::to_string(seconds) + " s: " + std::to_string(this->load.history().writes.size()) + " writes, " + std::to_string(this->load.history().reads.size()) + " reads");
        }

        std::vector<kernel::Address> daemonAddresses()
        {
            std::vector<kernel::Address> addresses;
            for (auto& node : this->cluster.daemons()) {
                if (node.process->isRunning())
                    addresses.push_back({ .host = "127.0.0.1", .port = node.callerPort });
            }
            return addresses;
        }

        const ExperimentOptions& options;
        rig::Cluster& cluster;
        kernel::Loop loop;
        Random faultRandom;
        LoadGenerator load;
        Time beganAt;
        std::vector<kernel::Registration> timers;
        std::vector<StoppedPrimary> stopped;
    };

}

RunResult runExperiment(const ExperimentOptions& options)
{
    RunResult result { .experiment = options.name, .profile = options.profile.name, .seed = options.seed };
    say(options, "starting " + std::to_string(options.profile.daemons) + " daemons and " + std::to_string(options.profile.instances * 3) + " upstreams");
    rig::Cluster cluster(makeClusterOptions(options));
    for (std::size_t i = 1; i <= options.profile.instances; ++i)
        createTable(cluster, options, i);
    Run run(options, cluster);
    run.execute(result);
    cluster.healNetwork();
    cluster.resumeAll();
    const auto rows = readRows(cluster);
    result.harm = countHarm(run.history(), rows);
    for (const auto& note : listHarm(run.history(), rows, harmNotesKept))
        result.harmNotes.push_back(describe(note, run.begin()));
    result.connections = readConnections(cluster);
    result.replicaReadShare = readReplicaShare(cluster);
    return result;
}

}
