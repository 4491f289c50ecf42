#include "amaranthhall/kernel/loop.hpp"

#include <event2/event.h>
#include <stdexcept>
#include <utility>

namespace amaranthhall::kernel {

struct Registration::State {
    event* handle { nullptr };
    Loop::ReadinessCallback callback;
    std::shared_ptr<State> self;
};

namespace {

    timeval toTimeval(Duration duration)
    {
        const auto whole = std::chrono::ceil<std::chrono::microseconds>(std::max(duration, Duration::zero())).count();
        return { .tv_sec = static_cast<time_t>(whole / 1'000'000), .tv_usec = static_cast<suseconds_t>(whole % 1'000'000) };
    }

    void dispatch(evutil_socket_t, short events, void* argument)
    {
        // The callback may destroy its own registration, so the state is held for the length of the call.
        const auto held = static_cast<Registration::State*>(argument)->self;
        held->callback({ .readable = (events & EV_READ) != 0, .writable = (events & EV_WRITE) != 0 });
    }

    std::shared_ptr<Registration::State> makeState(event_base* base, int descriptor, short events, Loop::ReadinessCallback callback)
    {
        auto state = std::make_shared<Registration::State>();
        state->callback = std::move(callback);
        state->handle = event_new(base, descriptor, events, dispatch, state.get());
        if (!state->handle)
            throw std::runtime_error("event_new failed");
        state->self = state;
        return state;
    }

    struct Posted {
        Loop::Callback callback;
    };

    void runPosted(evutil_socket_t, short, void* argument)
    {
        const std::unique_ptr<Posted> posted(static_cast<Posted*>(argument));
        posted->callback();
    }

}

Registration::Registration(std::shared_ptr<State> initial) noexcept
    : state(std::move(initial))
{
}

Registration::Registration(Registration&& other) noexcept = default;

Registration& Registration::operator=(Registration&& other) noexcept
{
    if (this != &other) {
        this->reset();
        this->state = std::move(other.state);
    }
    return *this;
}

Registration::~Registration()
{
    this->reset();
}

void Registration::reset() noexcept
{
    if (!this->state)
        return;
    auto dropped = std::exchange(this->state, nullptr);
    if (dropped->handle) {
        event_free(dropped->handle);
        dropped->handle = nullptr;
    }
    dropped->self.reset();
}

Loop::Loop()
    : eventBase(nullptr)
{
    auto* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    this->eventBase = event_base_new_with_config(config);
    event_config_free(config);
    if (!this->eventBase)
        throw std::runtime_error("event_base_new failed");
}

Loop::~Loop()
{
    event_base_free(this->eventBase);
}

Time Loop::now() const noexcept
{
    return Clock::now();
}

Registration Loop::after(Duration delay, Callback callback)
{
    auto state = makeState(this->eventBase, -1, 0, [call = std::move(callback)](Readiness) { call(); });
    const auto interval = toTimeval(delay);
    event_add(state->handle, &interval);
    return Registration(std::move(state));
}

Registration Loop::every(Duration interval, Callback callback)
{
    auto state = makeState(this->eventBase, -1, EV_PERSIST, [call = std::move(callback)](Readiness) { call(); });
    const auto period = toTimeval(interval);
    event_add(state->handle, &period);
    return Registration(std::move(state));
}

Registration Loop::watch(int descriptor, Readiness interest, ReadinessCallback callback)
{
    short events = EV_PERSIST;
    if (interest.readable)
        events |= EV_READ;
    if (interest.writable)
        events |= EV_WRITE;
    auto state = makeState(this->eventBase, descriptor, events, std::move(callback));
    event_add(state->handle, nullptr);
    return Registration(std::move(state));
}

Registration Loop::onSignal(int signal, Callback callback)
{
    auto state = makeState(this->eventBase, signal, EV_SIGNAL | EV_PERSIST, [call = std::move(callback)](Readiness) { call(); });
    event_add(state->handle, nullptr);
    return Registration(std::move(state));
}

void Loop::post(Callback callback)
{
    const timeval now {};
    auto posted = std::make_unique<Posted>(Posted { std::move(callback) });
    if (event_base_once(this->eventBase, -1, EV_TIMEOUT, runPosted, posted.get(), &now) == 0)
        static_cast<void>(posted.release());
}

void Loop::run()
{
    event_base_loop(this->eventBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void Loop::stop()
{
    event_base_loopbreak(this->eventBase);
}

}
