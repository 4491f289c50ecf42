#pragma once

#include "amaranthhall/engine/dispatcher.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::engine {

/// @brief Whether the log of an upstream contains a commit.
enum class CommitInclusion : std::uint8_t {
    Included,
    Pending, ///< Not yet; it may still receive the commit.
    Unknown, ///< Its log has entries of a later term, which may have dropped the commit.
};

/// @brief Returns whether a log that ends at `end` contains a commit; only the entries of one term have one order.
[[nodiscard]] CommitInclusion inclusionOf(const group::LogPoint& commit, const group::LogPoint& end) noexcept;

/**
 * @brief Holds back acknowledgements of commits while a promotion is expected.
 *
 * A promoted upstream leads with what it has received, and nothing more. A service with synchronous replicas confirms a commit once any
 * replica has it, which may not be the one that is promoted. From the moment that a candidate is known, its callers are told of a commit only when
 * the candidate has it. Services without synchronous replicas are not affected.
 */
class CommitGuard {
public:
    /// @brief Called once, with whether the candidate has the commit; not called after the deadline.
    using Done = std::function<void(bool isIncluded)>;

    /// @brief A commit that waits for the candidate.
    struct HeldCommit {
        group::LogPoint point;
        Time deadline;
        Done done;
    };

    CommitGuard(kernel::Loop& loop, const catalog::Catalog& catalog, Dispatcher& dispatcher) noexcept
        : loop(loop)
        , catalog(catalog)
        , dispatcher(dispatcher)
    {
    }

    /// @brief Records that an upstream is about to be promoted, or may still be, until the given time.
    void expectPromotion(const std::string& service, const std::string& candidate, Time until);

    /// @brief Returns whether a commit that an upstream has confirmed must wait for another one that is about to be promoted.
    [[nodiscard]] bool mustHold(std::string_view service, std::string_view upstream) const;

    /// @brief Waits until the candidate of a service has a commit; `done` is called on a later turn of the loop.
    void hold(const std::string& service, HeldCommit commit);

private:
    struct ServiceState {
        std::string candidate;
        Time until;
        std::vector<HeldCommit> held;
        Dispatcher::Ticket query;
        kernel::Registration timer;
    };

    void poll(const std::string& service);
    void onStatus(const std::string& service, const std::string& candidate, const std::optional<UpstreamStatus>& status);

    kernel::Loop& loop;
    const catalog::Catalog& catalog;
    Dispatcher& dispatcher;
    std::map<std::string, ServiceState, std::less<>> services;
};

}
