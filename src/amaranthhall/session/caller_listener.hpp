#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/kernel/socket.hpp"
#include "amaranthhall/session/caller_session.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace amaranthhall::session {

/// @brief Accepts callers and owns their sessions. Registered as service `callers`.
class CallerListener final : public kernel::Service, private SessionOwner {
public:
    CallerListener(kernel::Loop& loop, kernel::Registry& registry, const kernel::Settings& settings);
    ~CallerListener() override;

    [[nodiscard]] std::string_view name() const noexcept override { return "callers"; }
    void start() override;

    /// @brief Closes idle sessions, and cuts the others at the drain limit.
    void drain(std::function<void()> done) override;
    void stop() override;

    /// @brief Ends a drain at once, cutting what still runs; for a second SIGTERM.
    void cutNow();

    /// @brief Gives the port on which callers are accepted; known once started.
    [[nodiscard]] std::uint16_t port() const noexcept { return this->boundPort; }

    /// @brief Gives the number of connected callers.
    [[nodiscard]] std::size_t openSessions() const noexcept { return this->sessions.size(); }

private:
    void accept();
    void finishDrain();

    void remove(CallerSession& session) override;
    [[nodiscard]] bool mayOpen(const table::ServiceRow& service) const noexcept override;
    [[nodiscard]] CancelKey makeCancelKey(CallerSession& session) override;
    void cancel(const CancelKey& key) override;

    kernel::Loop& loop;
    kernel::Registry& registry;
    const kernel::Settings& settings;
    kernel::Socket listener;
    std::uint16_t boundPort { 0 };
    kernel::Registration acceptWatch;
    kernel::Registration drainTimer;
    std::function<void()> drained;
    std::unique_ptr<SessionContext> context;
    std::unordered_set<std::shared_ptr<CallerSession>> sessions;
    std::unordered_map<std::int32_t, CallerSession*> cancellable;
    std::unordered_map<std::string, std::size_t> sessionsOfService;
    std::int32_t lastProcess { 0 };
};

}
