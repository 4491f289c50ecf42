#pragma once

#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <algorithm>
#include <chrono>

namespace amaranthhall::platform {

/// @brief Bounds of the waits between attempts.
struct BackoffOptions {
    Duration shortest { std::chrono::milliseconds(100) };
    Duration longest { std::chrono::seconds(10) };
};

/// @brief Waits between attempts that grow at random, so that daemons which failed together do not come back together.
class Backoff {
public:
    explicit Backoff(BackoffOptions usedOptions = {})
        : options(usedOptions)
        , previous(usedOptions.shortest)
    {
    }

    /// @brief Gives the next wait: between the shortest and three times the one before, at most the longest.
    [[nodiscard]] Duration next(Random& random)
    {
        std::uniform_int_distribution<Duration::rep> choose(this->options.shortest.count(), this->previous.count() * 3);
        this->previous = std::min(Duration(choose(random)), this->options.longest);
        return this->previous;
    }

    /// @brief Begins anew after a success.
    void reset() noexcept { this->previous = this->options.shortest; }

private:
    BackoffOptions options;
    Duration previous;
};

}
