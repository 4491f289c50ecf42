#pragma once

#include "amaranthhall/bench/history.hpp"
#include "amaranthhall/bench/load_caller.hpp"
#include "amaranthhall/bench/profile.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace amaranthhall::bench {

/// @brief Gives the addresses of the daemons that callers may connect to at present.
using DaemonAddresses = std::function<std::vector<kernel::Address>()>;

/// @brief Open-loop load: arrivals do not wait for answers, so that a stall is not hidden.
class LoadGenerator {
public:
    LoadGenerator(kernel::Loop& loop, const Profile& profile, std::uint64_t seed, DaemonAddresses daemons);

    /// @brief Begins with the arrivals.
    void start();

    /// @brief Ends the arrivals; what has arrived still runs.
    void stop();

    /// @brief Tells whether everything that arrived has ended.
    [[nodiscard]] bool isIdle() const;

    /// @brief Gives a line for each caller that still waits, for a report.
    [[nodiscard]] std::string describeWaits() const;

    [[nodiscard]] const History& history() const noexcept { return this->record; }

private:
    void arrive();
    void drawNext();
    void waitForNext();
    [[nodiscard]] OperationKind chooseKind();
    [[nodiscard]] kernel::Address chooseDaemon();

    kernel::Loop& loop;
    Profile profile;
    Random random;
    DaemonAddresses daemons;
    History record;
    std::vector<std::unique_ptr<LoadCaller>> callers;
    kernel::Registration timer;
    Time nextArrival;
};

}
