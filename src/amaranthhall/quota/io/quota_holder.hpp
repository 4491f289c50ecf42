#pragma once

#include "amaranthhall/engine/operation_limiter.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/quota/holder.hpp"
#include "amaranthhall/quota/io/transport.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::quota {

/// @brief Admits the operations of this daemon with tokens that it asks the owners of the organisations for.
class QuotaHolder {
public:
    /// @brief State of this daemon that requests carry.
    struct Environment {
        std::function<std::uint64_t()> configurationVersion;
    };

    QuotaHolder(kernel::Loop& loop, Transport& transport, WindowBound bound, Environment environment, telemetry::Metrics& metrics);

    /// @brief Counts an operation and decides whether it may run; `done` is called within the call or later.
    void admit(const engine::Operation& operation, engine::OperationLimiter::Done done);

    void onGrant(const Message& message, const GrantMessage& grant);

    /// @brief Removes the accounts of organisations without recent operations.
    void removeUnused();

private:
    struct Waiter {
        bool isUrgent { false };
        engine::OperationLimiter::Done done;
    };

    struct Target {
        std::string vm;
        kernel::Address address;
    };

    struct Account {
        std::string organisation;
        HeldTokens held;
        catalog::OperationLimit limit;
        std::deque<Waiter> waiters; ///< Urgent ones first.
        GrantRequestMessage request; ///< Not answered yet, while `held.isAsking`.
        Target target; ///< Of the request.
        std::optional<Target> redirect; ///< Owner according to another daemon.
        unsigned sends { 0 }; ///< Of the request to the target.
        unsigned targets { 0 }; ///< Daemons that the request was sent to.
        kernel::Registration timer;
        Time isolatedUntil; ///< No owner replied; none is asked before.
        Time loggedAt; ///< When a refusal was last logged.
        Time isolationLoggedAt;
        Time unsupportedSince { Time::max() }; ///< When the owner first replied that it lacks votes.
    };

    void ask(Account& account);
    void sendRequest(Account& account);
    void onTimeout(Account& account);
    void askNextTarget(Account& account);
    void becomeIsolated(Account& account, std::string_view reason);
    void onUnsupported(Account& account);
    void serveWaiters(Account& account, bool isRefused);
    void finish(Account& account, bool isAdmitted, const engine::OperationLimiter::Done& done);
    [[nodiscard]] bool admitIsolated(Account& account);
    [[nodiscard]] std::optional<Target> chooseTarget(Account& account);
    [[nodiscard]] bool isAvoided(const std::string& vm) const;

    kernel::Loop& loop;
    Transport& transport;
    WindowBound bound;
    Environment environment;
    std::uint64_t instance; ///< Random number of this process.
    double isolationPhase; ///< See takeIsolated().
    prometheus::Counter& admitted;
    prometheus::Counter& refused;
    prometheus::Counter& isolatedAdmissions;
    prometheus::Counter& requests;
    std::map<std::string, Account, std::less<>> accounts; ///< By organisation.
    std::map<std::string, Time, std::less<>> avoidedUntil; ///< By VM that did not reply.
};

}
