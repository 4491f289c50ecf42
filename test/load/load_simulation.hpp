#pragma once

#include "amaranthhall/freshness/replica_lag.hpp"
#include "amaranthhall/load/load_report.hpp"
#include "amaranthhall/placement/placement.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace amaranthhall::load::simulation {

using freshness::Micros;

inline constexpr Micros second = 1'000'000;
inline constexpr std::size_t upstreamCount = 3; ///< The first one leads.

/// @brief What a run is to simulate: one service of deployment S without a network.
struct Scenario {
    std::size_t homes { 12 };
    double readsPerSecond { 180 };
    double leaderPerSecond { 40 }; ///< Writes and other statements that only the leader serves.
    Duration meanWork { std::chrono::milliseconds(30) };
    Micros duration { 20 * second };
    std::function<Micros(std::size_t upstream, Micros now)> lag { [](auto, auto) { return Micros(20'000); } }; ///< Replication lag.
    bool sendsReports { false }; ///< Homes report their load to each other.
    Micros reportDelay { 1'000 };
    double reportLoss { 0 }; ///< Probability that a report is lost.
    double unevenness { 1 }; ///< Statements of the homes of the first zone, relative to those of others.
    std::function<bool(std::size_t home, std::size_t upstream)> sheds { [](auto, auto) { return false; } }; ///< Whether an upstream refuses all statements of a home for overload.
    bool ignoresLag { false }; ///< Chooses like the previous build: a lagging replica is used at a handicap, and a lag that is not reported lately counts as 0.
};

/// @brief What happened.
struct Outcome {
    std::array<std::uint64_t, upstreamCount> arrivals {};
    std::uint64_t lagging { 0 }; ///< Arrivals that were refused for the position.
    std::uint64_t probes { 0 };
    std::uint64_t rejected { 0 }; ///< Arrivals that were refused for overload.
    std::uint64_t reports { 0 };
    std::uint64_t farReports { 0 }; ///< To another zone.
    double meanInFlight { 0 }; ///< Mean over time of the statements at the busiest upstream, running or queued.
    std::array<std::uint64_t, upstreamCount> fromFirstZone {}; ///< Arrivals from homes of the first zone.
    std::uint64_t served { 0 };
    std::uint64_t unserved { 0 }; ///< Timed out or refused.

    [[nodiscard]] std::uint64_t allArrivals() const { return this->arrivals[0] + this->arrivals[1] + this->arrivals[2]; }
    [[nodiscard]] double busiestToMean() const { return 3.0 * static_cast<double>(*std::max_element(this->arrivals.begin(), this->arrivals.end())) / static_cast<double>(this->allArrivals()); }
    [[nodiscard]] double rejectedShare() const { return static_cast<double>(this->rejected + this->lagging) / static_cast<double>(this->allArrivals()); }
    [[nodiscard]] double laggingShare() const { return static_cast<double>(this->lagging) / static_cast<double>(this->allArrivals()); }
};

/// @brief Discrete-event simulation of homes that send statements to the upstreams of a service.
class Simulation {
public:
    explicit Simulation(Scenario scenario, unsigned seed = 1);

    Outcome run();

private:
    struct Statement {
        bool needsLeader { false };
        group::LogPoint after;
        Micros deadline { 0 };
        std::vector<std::size_t> tried;
    };

    struct Upstream {
        std::uint32_t running { 0 };
        std::deque<std::function<void()>> queue;
        double inFlightTime { 0 };
    };

    struct Home {
        freshness::SampleWindow samples;
        std::array<freshness::ReplicaLag, upstreamCount> lags;
        std::array<placement::UpstreamHealth, upstreamCount> health;
        std::array<std::uint32_t, upstreamCount> running {};
        std::array<RecentMean, upstreamCount> runningMean;
        std::array<std::uint32_t, upstreamCount> rejected {};
        std::array<ReportPolicy, upstreamCount> policies;
        FleetLoad others;
        std::deque<Statement> waiting;
    };

    void at(Micros time, std::function<void()> action);
    [[nodiscard]] Time timeNow() const { return Time(std::chrono::microseconds(this->now)); }
    [[nodiscard]] group::LogPoint positionAt(Micros time) const { return { .term = 1, .position = static_cast<group::Position>(std::max<Micros>(0, time / 10'000)) }; }
    [[nodiscard]] group::LogPoint positionOf(std::size_t upstream);
    void arrive(bool needsLeader);
    void scheduleArrivals(bool needsLeader, double perSecond);
    void process(Home& home);
    bool serve(Home& home, const Statement& statement);
    void probe(Home& home, std::size_t upstream);
    void send(Home& home, std::size_t upstream, const Statement& statement);
    void report(std::size_t home, bool isFarRound);
    [[nodiscard]] UpstreamLoad loadOf(Home& home, std::size_t upstream);
    [[nodiscard]] placement::Candidate candidateFor(Home& home, std::size_t upstream);
    void retry(Home& home, Statement statement, std::size_t upstream);
    [[nodiscard]] std::size_t numberOf(const Home& home) const { return static_cast<std::size_t>(&home - this->homes.data()); }
    void startNext(std::size_t upstream);
    void onReply(Home& home, std::size_t upstream, Micros sentAt);

    static constexpr std::uint32_t slots = 6;
    static constexpr std::size_t queueLimit = 12; ///< Statements that an upstream queues.
    static constexpr std::size_t zones = 3;
    static constexpr Micros oneWay = 1'000; ///< Between a home and an upstream, in µs.

    Scenario scenario;
    Outcome outcome;
    std::mt19937_64 random;
    Micros now { second };
    std::uint64_t lastEvent { 0 };
    using Event = std::tuple<Micros, std::uint64_t, std::function<void()>>;
    struct Later {
        bool operator()(const Event& left, const Event& right) const { return std::tie(std::get<0>(left), std::get<1>(left)) > std::tie(std::get<0>(right), std::get<1>(right)); }
    };
    std::priority_queue<Event, std::vector<Event>, Later> events;
    std::array<Upstream, upstreamCount> upstreams;
    std::vector<Home> homes;
};

}
