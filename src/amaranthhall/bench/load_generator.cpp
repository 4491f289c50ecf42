#include "amaranthhall/bench/load_generator.hpp"

#include <algorithm>

namespace amaranthhall::bench {

LoadGenerator::LoadGenerator(kernel::Loop& usedLoop, const Profile& usedProfile, std::uint64_t seed, DaemonAddresses usedDaemons)
    : loop(usedLoop)
    , profile(usedProfile)
    , random(seed)
    , daemons(std::move(usedDaemons))
{
    for (std::size_t i = 0; i < this->profile.callers; ++i) {
        const auto instance = 1 + i % this->profile.instances;
        this->callers.push_back(std::make_unique<LoadCaller>(this->loop,
            CallerOptions {
                .number = i,
                .instance = instance,
                .database = this->profile.service + ":" + std::to_string(instance),
                .chooseDaemon = [this] { return this->chooseDaemon(); },
                .history = &this->record,
            }));
    }
}

void LoadGenerator::start()
{
    this->nextArrival = this->loop.now();
    this->drawNext();
    this->waitForNext();
}

void LoadGenerator::stop()
{
    this->timer.reset();
}

std::string LoadGenerator::describeWaits() const
{
    std::string lines;
    for (const auto& caller : this->callers) {
        if (!caller->isIdle())
            lines.append("\n  ").append(caller->describeWait());
    }
    return lines;
}

bool LoadGenerator::isIdle() const
{
    return std::all_of(this->callers.begin(), this->callers.end(), [](const auto& caller) { return caller->isIdle(); });
}

void LoadGenerator::drawNext()
{
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(this->profile.arrivalsPerSecond)(this->random));
    this->nextArrival += std::chrono::duration_cast<Duration>(gap);
}

void LoadGenerator::waitForNext()
{
    this->timer = this->loop.after(this->nextArrival - this->loop.now(), [this] { this->arrive(); });
}

void LoadGenerator::arrive()
{
    // Arrivals that fell due while the loop was busy come at once, with the time at which they were due.
    while (this->nextArrival <= this->loop.now()) {
        const auto chosen = std::uniform_int_distribution<std::size_t>(0, this->callers.size() - 1)(this->random);
        const bool roams = std::bernoulli_distribution(this->profile.roamShare)(this->random);
        this->callers[chosen]->add({ .kind = this->chooseKind(), .arrived = this->nextArrival, .roams = roams });
        this->drawNext();
    }
    this->waitForNext();
}

OperationKind LoadGenerator::chooseKind()
{
    const auto& mix = this->profile.mix;
    auto part = std::uniform_int_distribution<std::uint32_t>(0, 99)(this->random);
    if (part < mix.writes)
        return OperationKind::Write;
    part -= mix.writes;
    if (part < mix.keyedWrites)
        return OperationKind::KeyedWrite;
    part -= mix.keyedWrites;
    if (part < mix.transactions)
        return OperationKind::Transaction;
    part -= mix.transactions;
    return part < mix.staleReads ? OperationKind::StaleRead : OperationKind::OwnRead;
}

kernel::Address LoadGenerator::chooseDaemon()
{
    const auto addresses = this->daemons();
    return addresses[std::uniform_int_distribution<std::size_t>(0, addresses.size() - 1)(this->random)];
}

}
