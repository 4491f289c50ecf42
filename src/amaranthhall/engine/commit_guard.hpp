#pragma once

#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/engine/promotion_candidates.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
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
 * @brief Holds back acknowledgements of commits until each upstream that may be promoted has them.
 *
 * A promoted upstream leads with what it has received, and nothing more. A service with synchronous replicas confirms a commit once any
 * replica has it, which may not be the one that is promoted. A commit that was sent before a candidate was let go may have been dropped by the promotion
 * of that candidate: it is acknowledged only if the upstream that confirmed it still leads in the same term. Services without synchronous replicas are not affected.
 */
class CommitGuard {
public:
    /// @brief Called once, with whether all candidates have the commit; not called after the deadline.
    using Done = std::function<void(bool isIncluded)>;

    /// @brief A commit that waits for the candidates.
    struct HeldCommit {
        group::LogPoint point;
        std::string upstream; ///< Has confirmed it.
        Time sentAt;
        Time deadline;
        Done done;
    };

    CommitGuard(kernel::Loop& loop, const catalog::Catalog& catalog, Dispatcher& dispatcher, PromotionCandidateSource& candidates) noexcept
        : loop(loop)
        , catalog(catalog)
        , dispatcher(dispatcher)
        , candidates(candidates)
    {
    }

    /// @brief Returns whether a commit that an upstream has confirmed must be held, as another one may be promoted or may have been.
    [[nodiscard]] bool mustHold(const std::string& service, const std::string& upstream, Time sentAt) const;

    /// @brief Waits until a commit can be acknowledged; `done` is called on a later turn of the loop.
    void hold(const std::string& service, HeldCommit commit);

    /// @brief Returns the number of commits that are held back.
    [[nodiscard]] std::size_t heldCount() const noexcept;

private:
    struct Waiting {
        HeldCommit commit;
        std::vector<std::string> includedIn; ///< Candidates whose log was seen to have it.
        std::optional<Time> ledAt; ///< When the upstream that confirmed it was asked and led in the same term.
    };

    /// A question to an upstream for its position.
    struct Query {
        Dispatcher::Ticket ticket;
        Time askedAt;
        bool isPending { false };
    };

    struct ServiceState {
        std::vector<Waiting> held;
        std::map<std::string, Query> queries; ///< By upstream.
        kernel::Registration timer;
    };

    [[nodiscard]] static bool lacks(const Waiting& waiting, const std::string& candidate);
    [[nodiscard]] static bool mustStillLead(const Waiting& waiting, Time changedAt);
    void poll(const std::string& service);
    void query(const std::string& service, const std::string& upstream);
    void onStatus(const std::string& service, const std::string& upstream, const UpstreamStatus& status);
    void complete(const std::string& service);

    kernel::Loop& loop;
    const catalog::Catalog& catalog;
    Dispatcher& dispatcher;
    PromotionCandidateSource& candidates;
    std::map<std::string, ServiceState, std::less<>> services;
};

}
