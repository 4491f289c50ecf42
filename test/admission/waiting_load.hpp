#pragma once

#include "amaranthhall/admission/wait_queue.hpp"
#include "amaranthhall/placement/placement.hpp"

#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace amaranthhall::admission::simulation {

using namespace std::chrono_literals;

/// The order of the statements that wait on a daemon.
class Order {
public:
    virtual ~Order() = default;
    virtual bool push(const WaitingStatement& statement, double relativeCost, Time now) = 0;
    virtual void beginPass() = 0;
    virtual std::optional<WaitQueue::Next> next(Time now) = 0;
    virtual void block(Lane lane, Time now) = 0;
    virtual void grant(std::uint64_t id, Time now) = 0;
    virtual void remove(std::uint64_t id) = 0;
};

using MakeOrder = std::function<std::unique_ptr<Order>()>;

/// The order of WaitQueue.
std::unique_ptr<Order> makeWaitQueue();

/// The order before WaitQueue: one list by priority and target, with one estimate of the wait per lane.
std::unique_ptr<Order> makeTargetOrder();

/// An order by arrival in which no class has a share: a defect that the checks must find.
std::unique_ptr<Order> makeArrivalOrder();

/// A route, with the value of an operation that is answered on time or late.
struct Route {
    StatementClass kind;
    double ratePerSecond { 0 }; ///< To one service.
    double writes { 0 }; ///< Fraction that needs the leader.
    Duration work { 0 }; ///< Mean.
    Duration target { 0 };
    Duration budget { 0 }; ///< Time after which the caller gives up; the statement timeout as well.
    double valueOnTime { 0 };
    double valueLate { 0 };
    std::vector<std::pair<Duration, double>> load; ///< Factor of the rate from a moment on.
};

/// What became of the operations of a route.
struct Outcome {
    unsigned due { 0 };
    unsigned onTime { 0 };
    unsigned late { 0 };
    unsigned refused { 0 }; ///< Each attempt was refused at once.
    unsigned abandoned { 0 }; ///< Held until the caller gave up.
    std::vector<double> value; ///< By the second of arrival.
    std::vector<double> valueDue;

    Outcome& operator+=(const Outcome& other);
    [[nodiscard]] double refusedShare() const { return static_cast<double>(this->refused + this->abandoned) / this->due; }
};

struct Site {
    std::vector<Route> routes;
    std::size_t upstreams { 3 }; ///< Usable ones; the first leads.
    std::size_t daemons { 6 };
    std::size_t seconds { 8 };
    Duration callerLatency { 1ms };
    unsigned seed { 1 };
};

/// Simulates a service whose callers retry refused operations at another daemon.
[[nodiscard]] std::vector<Outcome> run(const Site& site, const MakeOrder& makeOrder);

/// Returns the value that the slots can run of what arrives in a second, relative to the value due.
[[nodiscard]] double attainable(const Site& site, std::size_t second);

}
