#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/store/poll_policy.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <random>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;
using store::PollInput;
using store::PollPolicy;

namespace {

constexpr PollPolicy policy { .maximumAge = 1200ms };

/// Daemons that poll a store by the real policy on a virtual clock and tell each other their newest answer as GossipNode does, with 10% of the datagrams lost.
class PollSimulation {
public:
    struct Options {
        std::size_t daemons { 15 };
        std::size_t cutRanks { 0 }; ///< The daemons of the first ranks do not reach the store.
        Duration maximumAge { 1200ms };
    };

    explicit PollSimulation(const Options& used)
        : options(used)
        , daemons(used.daemons)
    {
        for (std::size_t rank = 0; rank < this->daemons.size(); ++rank)
            this->daemons[rank].nextRound = this->now + gossipInterval * rank / this->daemons.size();
    }

    void run(Duration span)
    {
        for (const auto end = this->now + span; this->now < end; this->now += step) {
            for (std::size_t rank = 0; rank < this->daemons.size(); ++rank)
                this->advance(rank);
        }
    }

    /// Starts to count polls and ages; the first cutRanks daemons lose the store.
    void startFault()
    {
        this->isFaulty = true;
        this->polls = 0;
        this->oldest = Duration::zero();
    }

    [[nodiscard]] std::size_t pollCount() const noexcept { return this->polls; }

    /// Returns the greatest age of the copy of a daemon that reaches the store.
    [[nodiscard]] Duration oldestCopy() const noexcept { return this->oldest; }

private:
    static constexpr Duration step = 5ms; // also the time until a datagram or an answer arrives
    static constexpr Duration gossipInterval = 200ms;
    static constexpr std::size_t largeFleetSize = 30;
    static constexpr std::size_t widelyFanOut = 40;

    struct Daemon {
        Time verifiedAt { 1000s };
        Time nextRound;
        std::optional<Time> lastPollAt;
        unsigned failures { 0 };
    };

    void advance(std::size_t rank)
    {
        auto& daemon = this->daemons[rank];
        if (this->now >= daemon.nextRound) {
            daemon.nextRound += gossipInterval;
            this->tell(rank, this->daemons.size() > largeFleetSize ? 3 : 5);
        }
        PollInput input { .rank = rank, .age = this->now - daemon.verifiedAt, .failures = daemon.failures };
        if (daemon.lastPollAt)
            input.sinceLastPoll = this->now - *daemon.lastPollAt;
        if (store::timeUntilPoll({ .maximumAge = this->options.maximumAge }, input) <= Duration::zero())
            this->poll(rank);
        const bool isCut = this->isFaulty && rank < this->options.cutRanks;
        if (!isCut)
            this->oldest = std::max(this->oldest, this->now - daemon.verifiedAt);
    }

    void poll(std::size_t rank)
    {
        auto& daemon = this->daemons[rank];
        ++this->polls;
        daemon.lastPollAt = this->now;
        if (this->isFaulty && rank < this->options.cutRanks) {
            ++daemon.failures;
            return;
        }
        daemon.failures = 0;
        daemon.verifiedAt = this->now;
        this->tell(rank, widelyFanOut);
    }

    void tell(std::size_t from, std::size_t count)
    {
        for (std::size_t i = 0; i < std::min(count, this->daemons.size() - 1); ++i) {
            const auto to = std::uniform_int_distribution<std::size_t>(0, this->daemons.size() - 1)(this->random);
            if (std::uniform_int_distribution<int>(0, 9)(this->random) != 0)
                this->daemons[to].verifiedAt = std::max(this->daemons[to].verifiedAt, this->daemons[from].verifiedAt);
        }
    }

    Options options;
    std::vector<Daemon> daemons;
    Time now { 1000s };
    Random random { 11 };
    bool isFaulty { false };
    std::size_t polls { 0 };
    Duration oldest { 0 };
};

/// Plays 10 s after 3 s without a fault.
PollSimulation played(const PollSimulation::Options& options)
{
    PollSimulation simulation(options);
    simulation.run(3s);
    simulation.startFault();
    simulation.run(10s);
    return simulation;
}

}

TEST_GROUP(PollPolicy) {};

TEST(PollPolicy, TheFirstRankAsksFirstAndAllAskAtTheMaximumAgeAtTheLatest)
{
    CHECK(store::pollAge(policy, 0) < store::pollAge(policy, 1));
    for (std::size_t rank = 1; rank < 2300; ++rank) {
        CHECK(store::pollAge(policy, rank) <= store::pollAge(policy, rank + 1));
        CHECK(store::pollAge(policy, rank) <= policy.maximumAge);
    }
}

TEST(PollPolicy, ACopyOfUnknownAgeIsVerifiedAtOnce)
{
    CHECK(store::timeUntilPoll(policy, { .rank = 9 }) <= Duration::zero());
}

TEST(PollPolicy, AYoungCopyWaitsUntilItsAgeRequiresAPoll)
{
    CHECK(store::timeUntilPoll(policy, { .rank = 0, .age = 100ms }) == store::pollAge(policy, 0) - 100ms);
}

TEST(PollPolicy, APollWithoutAnAnswerIsFollowedByAnotherOneBeforeItTimesOut)
{
    CHECK(store::timeUntilPoll(policy, { .age = 2s, .pending = 1, .sinceLastPoll = 100ms }) == store::hedgeDelay - 100ms);
    CHECK(store::timeUntilPoll(policy, { .age = 2s, .pending = 1, .sinceLastPoll = 500ms }) <= Duration::zero());
    CHECK(store::timeUntilPoll(policy, { .age = 9s, .pending = store::maximumPendingPolls, .sinceLastPoll = 5s }) > Duration::zero());
}

TEST(PollPolicy, FailedPollsAreRepeatedInGrowingIntervals)
{
    CHECK(store::timeUntilPoll(policy, { .age = 2s, .sinceLastPoll = 0ms, .failures = 1 }) == store::firstRetryInterval);
    CHECK(store::timeUntilPoll(policy, { .age = 2s, .sinceLastPoll = 0ms, .failures = 2 }) == store::firstRetryInterval * 2);
    CHECK(store::timeUntilPoll(policy, { .age = 2s, .sinceLastPoll = 0ms, .failures = 50 }) == store::maximumRetryInterval);
}

// A store that does not tell its time, or whose clock was reset, must not be asked in a loop.
TEST(PollPolicy, PollsKeepAnIntervalWhateverTheirAnswersAre)
{
    CHECK(store::timeUntilPoll(policy, { .rank = 0, .sinceLastPoll = 5ms }) == store::minimumPollInterval - 5ms);
    CHECK(store::timeUntilPoll(policy, { .rank = 0, .age = 60s, .sinceLastPoll = 5ms }) == store::minimumPollInterval - 5ms);
}

TEST_GROUP(PollSimulation) {};

TEST(PollSimulation, FewPollsASecondKeepAllCopiesYoung)
{
    struct Case {
        PollSimulation::Options options;
        std::size_t mostPolls; ///< In 10 s.
    };
    const std::array cases {
        Case { .options = { .daemons = 15, .maximumAge = 1200ms }, .mostPolls = 25 },
        Case { .options = { .daemons = 115, .maximumAge = 2000ms }, .mostPolls = 30 },
        Case { .options = { .daemons = 300, .maximumAge = 2400ms }, .mostPolls = 60 },
        Case { .options = { .daemons = 2300, .maximumAge = 2400ms }, .mostPolls = 1000 },
    };
    for (const auto& [options, mostPolls] : cases) {
        const auto simulation = played(options);
        CHECK(simulation.oldestCopy() <= options.maximumAge);
        CHECK_TRUE_TEXT(simulation.pollCount() <= mostPolls, (std::to_string(options.daemons) + " daemons: " + std::to_string(simulation.pollCount()) + " polls").c_str());
    }
}

TEST(PollSimulation, CopiesStayYoungIfTheFirstRanksDoNotReachTheStore)
{
    const std::array<PollSimulation::Options, 5> cases { {
        { .daemons = 15, .cutRanks = 4, .maximumAge = 1200ms },
        { .daemons = 15, .cutRanks = 14, .maximumAge = 1200ms },
        { .daemons = 115, .cutRanks = 98, .maximumAge = 2000ms },
        { .daemons = 300, .cutRanks = 255, .maximumAge = 2400ms },
        { .daemons = 2300, .cutRanks = 1955, .maximumAge = 2400ms },
    } };
    for (const auto& options : cases)
        CHECK(played(options).oldestCopy() <= options.maximumAge);
}

// The platform allows all daemons together 2,000 reads a second in the smallest deployments; polls may take a tenth of them for each daemon that reaches the store or not.
TEST(PollSimulation, PollsStayFewIfNobodyReachesTheStore)
{
    for (const std::size_t daemons : { 15U, 115U, 300U, 2300U }) {
        const auto simulation = played({ .daemons = daemons, .cutRanks = daemons });
        const auto pollsPerDaemonAndSecond = static_cast<double>(simulation.pollCount()) / static_cast<double>(daemons) / 10;
        CHECK_TRUE_TEXT(pollsPerDaemonAndSecond <= 1, std::to_string(pollsPerDaemonAndSecond).c_str());
    }
}
