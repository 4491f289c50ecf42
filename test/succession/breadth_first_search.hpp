#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_set>
#include <utility>

namespace amaranthhall::succession::testing {

/**
 * @brief Visits all reachable states in breadth-first order until one violates an invariant.
 * @tparam State Type with a string member `violation`, which is empty while all invariants hold.
 */
template <typename State>
class BreadthFirstSearch {
public:
    /// @brief Adds a state unless one with the same description was added before.
    void push(const State& state, std::string description)
    {
        if (!state.violation.empty())
            this->firstViolation = state.violation;
        if (this->visited.insert(std::move(description)).second)
            this->queue.push_back(state);
    }

    /// @brief Visits states until none is left; `expand` pushes the successors of a state. Returns the first violation, or an empty string.
    std::string run(const std::function<void(const State&)>& expand)
    {
        while (!this->queue.empty() && this->firstViolation.empty()) {
            const auto state = std::move(this->queue.front());
            this->queue.pop_front();
            expand(state);
        }
        return this->firstViolation;
    }

    [[nodiscard]] std::size_t stateCount() const noexcept { return this->visited.size(); }

private:
    std::deque<State> queue;
    std::unordered_set<std::string> visited;
    std::string firstViolation;
};

}
