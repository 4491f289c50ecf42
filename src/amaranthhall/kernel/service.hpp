#pragma once

#include <functional>
#include <string_view>

namespace amaranthhall::kernel {

/// @brief A part of the daemon that the kernel starts, drains and stops.
class Service {
public:
    Service() = default;
    Service(const Service&) = delete;
    Service& operator=(const Service&) = delete;
    virtual ~Service() = default;

    /// @brief Gives the name under which other services find this one.
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /// @brief Begins work; every service is registered by then, but not every one has started.
    virtual void start() { }

    /**
     * @brief Takes no new work and lets running work end.
     * @param done Called once, when nothing is left to wait for.
     */
    virtual void drain(std::function<void()> done) { done(); }

    /// @brief Ends at once whatever still runs.
    virtual void stop() { }
};

}
