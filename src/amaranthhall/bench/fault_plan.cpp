#include "amaranthhall/bench/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>

namespace amaranthhall::bench {

namespace {

    using namespace std::chrono_literals;
    using Millis = std::chrono::milliseconds;

    constexpr auto firstFault = 3000ms; // after pools have been warmed
    constexpr auto freezeLength = 4000ms; // longer than any suspicion, so that a promotion follows
    constexpr auto partitionLength = 5000ms;
    constexpr auto outageLength = 6000ms;

    /// Collects faults; each heals by an entry of its own.
    class Plan {
    public:
        Plan(rig::Cluster& usedCluster, Random& usedRandom)
            : cluster(usedCluster)
            , random(usedRandom)
        {
        }

        void killPrimary(Millis at, std::size_t instance)
        {
            this->add(at, "kill -9 of the primary of instance " + std::to_string(instance), instance, [this, instance] { this->primaryOf(instance).process->kill(); });
        }

        void freezePrimary(Millis at, std::size_t instance, Millis length)
        {
            const auto frozen = std::make_shared<rig::UpstreamNode*>(nullptr);
            this->add(at, "SIGSTOP of the primary of instance " + std::to_string(instance), instance, [this, instance, frozen] {
                *frozen = &this->primaryOf(instance);
                this->cluster.freeze(**frozen);
            });
            this->add(at + length, "SIGCONT of that primary", 0, [this, frozen] { this->cluster.resume(**frozen); });
        }

        void freezeDaemon(Millis at, std::size_t index, Millis length)
        {
            this->add(at, "SIGSTOP of " + this->cluster.daemons()[index].vm, 0, [this, index] { this->cluster.freeze(this->cluster.daemons()[index]); });
            this->add(at + length, "SIGCONT of " + this->cluster.daemons()[index].vm, 0, [this, index] { this->cluster.resume(this->cluster.daemons()[index]); });
        }

        void killDaemon(Millis at, std::size_t index)
        {
            this->add(at, "kill -9 of " + this->cluster.daemons()[index].vm, 0, [this, index] {
                this->cluster.removeVm(this->cluster.daemons()[index]);
                this->cluster.daemons()[index].process->kill();
            });
        }

        void drainDaemon(Millis at, std::size_t index)
        {
            this->add(at, "SIGTERM of " + this->cluster.daemons()[index].vm, 0, [this, index] { this->cluster.daemons()[index].process->signal(SIGTERM); });
        }

        void cutReplication(Millis at, std::size_t instance, Millis length)
        {
            this->add(at, "the primary of instance " + std::to_string(instance) + " is cut off from its replicas", instance, [this, instance] { this->cluster.cutReplication(this->primaryOf(instance)); });
            this->heal(at + length);
        }

        void cutFromHalf(Millis at, std::size_t instance, Millis length)
        {
            this->add(at, "the primary of instance " + std::to_string(instance) + " is cut off from half the daemons", 0, [this, instance] { this->cluster.cutFromHalfTheDaemons(this->primaryOf(instance)); });
            this->heal(at + length);
        }

        void isolate(Millis at, std::size_t instance, Millis length)
        {
            this->add(at, "the primary of instance " + std::to_string(instance) + " is cut off from replicas and half the daemons", instance, [this, instance] {
                auto& primary = this->primaryOf(instance);
                this->cluster.cutReplication(primary);
                this->cluster.cutFromHalfTheDaemons(primary);
            });
            this->heal(at + length);
        }

        void storeOutage(Millis at, Millis length)
        {
            this->add(at, "the platform's store is down", 0, [this] { this->cluster.setStoreDown(true); });
            this->add(at + length, "the store is back", 0, [this] { this->cluster.setStoreDown(false); });
        }

        void lag(Millis at, std::size_t instance, Millis feed, Millis apply)
        {
            this->add(at, "replicas of instance " + std::to_string(instance) + " lag by " + std::to_string(feed.count()) + " + " + std::to_string(apply.count()) + " ms", 0, [this, instance, feed, apply] { this->cluster.setLag(instance, feed, apply); });
        }

        [[nodiscard]] std::size_t draw(std::size_t least, std::size_t most)
        {
            return std::uniform_int_distribution<std::size_t>(least, most)(this->random);
        }

        [[nodiscard]] std::size_t instances() const { return this->cluster.settings().instances; }
        [[nodiscard]] std::size_t daemons() const { return this->cluster.daemons().size(); }

        [[nodiscard]] std::vector<PlannedFault> take()
        {
            std::stable_sort(this->faults.begin(), this->faults.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
            return std::move(this->faults);
        }

    private:
        void add(Millis at, std::string what, std::size_t stops, std::function<void()> begin)
        {
            this->faults.push_back({ .at = at, .what = std::move(what), .stopsInstance = stops, .begin = std::move(begin) });
        }

        void heal(Millis at)
        {
            this->add(at, "the partition heals", 0, [this] { this->cluster.healNetwork(); });
        }

        rig::UpstreamNode& primaryOf(std::size_t instance)
        {
            return this->cluster.primaryOf(instance);
        }

        rig::Cluster& cluster;
        Random& random;
        std::vector<PlannedFault> faults;
    };

    void planFailover(Plan& plan, Millis length)
    {
        const auto spacing = (length - firstFault) / static_cast<std::int64_t>(plan.instances());
        for (std::size_t i = 1; i <= plan.instances(); ++i)
            plan.killPrimary(firstFault + spacing * static_cast<std::int64_t>(i - 1), i);
    }

    void planPartition(Plan& plan, Millis)
    {
        plan.cutReplication(firstFault, 1, partitionLength);
        plan.cutFromHalf(firstFault + 2 * partitionLength, std::min<std::size_t>(2, plan.instances()), partitionLength);
        plan.isolate(firstFault + 4 * partitionLength, plan.instances(), partitionLength);
    }

    void planPause(Plan& plan, Millis)
    {
        plan.freezePrimary(firstFault, 1, freezeLength);
        plan.freezeDaemon(firstFault + 2 * freezeLength, 0, freezeLength);
        plan.freezeDaemon(firstFault + 2 * freezeLength + 1s, std::min<std::size_t>(1, plan.daemons() - 1), freezeLength);
        plan.freezePrimary(firstFault + 4 * freezeLength, plan.instances(), freezeLength);
    }

    void planLag(Plan& plan, Millis)
    {
        for (std::size_t i = 1; i <= plan.instances(); ++i)
            plan.lag(firstFault, i, 0ms, 100ms);
    }

    void planStoreOutage(Plan& plan, Millis length)
    {
        plan.storeOutage(firstFault, length - firstFault - 2s);
        plan.killPrimary(firstFault + 2s, 1);
    }

    void planDrain(Plan& plan, Millis length)
    {
        const auto count = plan.daemons() / 2;
        const auto spacing = (length - firstFault) / static_cast<std::int64_t>(count + 1);
        for (std::size_t i = 0; i < count; ++i)
            plan.drainDaemon(firstFault + spacing * static_cast<std::int64_t>(i), i);
    }

    void addStormFault(Plan& plan, Millis at)
    {
        const auto instance = plan.draw(1, plan.instances());
        switch (plan.draw(0, 6)) {
        case 0:
            plan.freezePrimary(at, instance, freezeLength);
            break;
        case 1:
            plan.cutReplication(at, instance, partitionLength);
            break;
        case 2:
            plan.isolate(at, instance, partitionLength);
            break;
        case 3:
            plan.storeOutage(at, outageLength);
            break;
        case 4:
            plan.freezeDaemon(at, plan.draw(1, plan.daemons() - 1), freezeLength);
            break;
        case 5:
            plan.lag(at, instance, Millis(plan.draw(0, 50)), Millis(plan.draw(0, 300)));
            break;
        default:
            plan.cutFromHalf(at, instance, partitionLength);
            break;
        }
    }

    void planStorm(Plan& plan, Millis length)
    {
        constexpr auto spacing = 2500ms;
        for (auto at = firstFault; at < length - freezeLength; at += spacing)
            addStormFault(plan, at + Millis(plan.draw(0, 1000)));
        plan.killPrimary(length / 2, plan.draw(1, plan.instances()));
        plan.killDaemon(length / 3, 0);
    }

    using Planner = void (*)(Plan&, Millis);

    struct Experiment {
        std::string_view name;
        Planner plan;
    };

    void planNothing(Plan&, Millis) { }

    constexpr std::array<Experiment, 9> experiments { {
        { "steady", planNothing },
        { "roaming", planNothing },
        { "failover", planFailover },
        { "partition", planPartition },
        { "pause", planPause },
        { "lag", planLag },
        { "store-outage", planStoreOutage },
        { "drain", planDrain },
        { "storm", planStorm },
    } };

}

std::vector<std::string_view> listExperiments()
{
    std::vector<std::string_view> names;
    for (const auto& experiment : experiments)
        names.push_back(experiment.name);
    return names;
}

std::vector<PlannedFault> planFaults(std::string_view name, rig::Cluster& cluster, std::chrono::milliseconds length, Random& random)
{
    for (const auto& experiment : experiments) {
        if (experiment.name != name)
            continue;
        // The faults hold the plan, so it lives as long as they do.
        auto plan = std::make_shared<Plan>(cluster, random);
        experiment.plan(*plan, length);
        auto faults = plan->take();
        for (auto& fault : faults)
            fault.begin = [plan, begin = std::move(fault.begin)] { begin(); };
        return faults;
    }
    throw std::invalid_argument("no such experiment: " + std::string(name));
}

}
