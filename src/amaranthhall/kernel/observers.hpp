#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace amaranthhall::kernel {

/// @brief List of callbacks that a source calls on each change; observers live as long as the process.
class Observers {
public:
    using Callback = std::function<void()>;

    /// @brief Adds a callback.
    void add(Callback callback) { this->callbacks.push_back(std::move(callback)); }

    /// @brief Calls all callbacks in the order in which they were added.
    void notify() const
    {
        for (const auto& callback : this->callbacks)
            callback();
    }

private:
    std::vector<Callback> callbacks;
};

}
