#pragma once

#include "amaranthhall/freshness/replica_lag.hpp"
#include "amaranthhall/placement/placement.hpp"

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
    bool ignoresLag { false }; ///< Chooses like the previous build: a lagging replica is used at a handicap, and a lag that is not reported lately counts as 0.
};

/// @brief What happened.
struct Outcome {
    std::array<std::uint64_t, upstreamCount> arrivals {};
    std::uint64_t lagging { 0 }; ///< Arrivals that were refused for the position.
    std::uint64_t probes { 0 };
    std::uint64_t served { 0 };
    std::uint64_t unserved { 0 }; ///< Timed out or refused.

    [[nodiscard]] std::uint64_t allArrivals() const { return this->arrivals[0] + this->arrivals[1] + this->arrivals[2]; }
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
    };

    struct Home {
        freshness::SampleWindow samples;
        std::array<freshness::ReplicaLag, upstreamCount> lags;
        std::array<placement::UpstreamHealth, upstreamCount> health;
        std::array<std::uint32_t, upstreamCount> running {};
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
    void startNext(std::size_t upstream);
    void onReply(Home& home, std::size_t upstream, Micros sentAt);

    static constexpr std::uint32_t slots = 6;
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
