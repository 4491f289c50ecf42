#pragma once

#include "amaranthhall/engine/dispatcher.hpp"

#include <functional>
#include <map>
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
 * replica has it, which may not be the one that is promoted. Services without synchronous replicas are not affected.
 */
class CommitGuard {
public:
    /// @brief Returns the upstreams of a service that may be promoted by an order which can't be called back.
    using Candidates = std::function<std::vector<std::string>(const std::string& service)>;

    /// @brief Called once, with whether all candidates have the commit; not called after the deadline.
    using Done = std::function<void(bool isIncluded)>;

    /// @brief A commit that waits for the candidates.
    struct HeldCommit {
        group::LogPoint point;
        std::string upstream; ///< Has confirmed it.
        Time deadline;
        Done done;
    };

    CommitGuard(kernel::Loop& loop, const catalog::Catalog& catalog, Dispatcher& dispatcher, Candidates candidates)
        : loop(loop)
        , catalog(catalog)
        , dispatcher(dispatcher)
        , candidates(std::move(candidates))
    {
    }

    /// @brief Returns whether a commit that an upstream has confirmed must wait for another one that may be promoted.
    [[nodiscard]] bool mustHold(const std::string& service, const std::string& upstream) const;

    /// @brief Waits until all candidates of a service have a commit; `done` is called on a later turn of the loop.
    void hold(const std::string& service, HeldCommit commit);

    /// @brief Returns the number of commits that are held back.
    [[nodiscard]] std::size_t heldCount() const noexcept;

private:
    struct Waiting {
        HeldCommit commit;
        std::vector<std::string> includedIn; ///< Candidates whose log was seen to have it.
    };

    /// A question to a candidate for its position.
    struct Query {
        Dispatcher::Ticket ticket;
        Time askedAt;
        bool isPending { false };
    };

    struct ServiceState {
        std::vector<Waiting> held;
        std::map<std::string, Query> queries; ///< By candidate.
        kernel::Registration timer;
    };

    void poll(const std::string& service);
    void query(const std::string& service, const std::string& candidate);
    void onStatus(const std::string& service, const std::string& candidate, const std::optional<UpstreamStatus>& status);
    void complete(const std::string& service);

    kernel::Loop& loop;
    const catalog::Catalog& catalog;
    Dispatcher& dispatcher;
    Candidates candidates;
    std::map<std::string, ServiceState, std::less<>> services;
};

}
