#pragma once

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace amaranthhall::succession::testing {

/**
 * @brief Visits all states that can be reached, nearest first, until one has a problem.
 * @tparam World State with a text `problem`, empty while no rule is broken.
 */
template <typename World>
class BreadthFirst {
public:
    /// @brief Adds a state unless one of the same description was added before.
    void push(const World& world, std::string description)
    {
        if (!world.problem.empty())
            this->found = world.problem;
        if (this->seen.insert(std::move(description)).second)
            this->open.push_back(world);
    }

    /// @brief Visits states until none is left; `expand` pushes those that follow. Gives the first problem, or an empty text.
    std::string run(const std::function<void(const World&)>& expand)
    {
        while (!this->open.empty() && this->found.empty()) {
            const auto world = std::move(this->open.front());
            this->open.pop_front();
            expand(world);
        }
        return this->found;
    }

    [[nodiscard]] std::size_t states() const noexcept { return this->seen.size(); }

private:
    std::deque<World> open;
    std::set<std::string> seen;
    std::string found;
};

}
