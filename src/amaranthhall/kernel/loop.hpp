#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <functional>
#include <memory>

struct event_base;

namespace amaranthhall::kernel {

/// @brief What a watched descriptor is ready for.
struct Readiness {
    bool readable { false };
    bool writable { false };
};

/// @brief Keeps a timer, descriptor or signal registered; destroying it cancels the registration.
class Registration {
public:
    struct State;

    Registration() noexcept = default;
    explicit Registration(std::shared_ptr<State> state) noexcept;
    Registration(Registration&&) noexcept;
    Registration& operator=(Registration&&) noexcept;
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;
    ~Registration();

    /// @brief Cancels the registration; does nothing if it has none.
    void reset() noexcept;

    /// @brief Tells whether a registration is held.
    [[nodiscard]] explicit operator bool() const noexcept { return this->state != nullptr; }

private:
    std::shared_ptr<State> state;
};

/// @brief The one event loop of a process, run by its one thread.
class Loop {
public:
    using Callback = std::function<void()>;
    using ReadinessCallback = std::function<void(Readiness)>;

    Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    ~Loop();

    /// @brief Reads the steady clock.
    [[nodiscard]] Time now() const noexcept;

    /// @brief Calls back once after a delay, unless the returned registration is destroyed before.
    [[nodiscard]] Registration after(Duration delay, Callback callback);

    /// @brief Calls back at a fixed interval for as long as the returned registration lives.
    [[nodiscard]] Registration every(Duration interval, Callback callback);

    /**
     * @brief Calls back whenever a descriptor is ready.
     * @param descriptor An open, non-blocking descriptor, which must outlive the registration.
     * @param interest The directions to watch.
     */
    [[nodiscard]] Registration watch(int descriptor, Readiness interest, ReadinessCallback callback);

    /// @brief Calls back on each delivery of a signal.
    [[nodiscard]] Registration onSignal(int signal, Callback callback);

    /// @brief Calls back on the next turn of the loop.
    void post(Callback callback);

    /// @brief Runs until stop() is called.
    void run();

    /// @brief Ends run() after the current turn.
    void stop();

    /// @brief Gives the libevent base for libraries that register their own events.
    [[nodiscard]] event_base* base() const noexcept { return this->eventBase; }

private:
    event_base* eventBase;
};

}
