#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/upstream/link.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace amaranthhall::upstream {

/// @brief What a refused statement's caller is told of its fate.
enum class Verdict : std::uint8_t {
    NotRun,
    OutcomeUnknown,
};

/// @brief Why work was refused, ready for the caller.
struct Refusal {
    Verdict verdict { Verdict::NotRun };
    std::string sqlstate;
    std::string message;
    std::chrono::milliseconds retryAfter { 0 }; ///< When to come back; 0 if nothing is known.
};

/// @brief A link that is lent; destroying the lease gives it back.
class LinkLease {
public:
    /// @brief Takes the link back; `reusable` is false where its state is in doubt.
    using Return = std::function<void(bool reusable)>;

    LinkLease() noexcept = default;
    LinkLease(Link& lent, Return giveBack) noexcept
        : link(&lent)
        , returnLink(std::move(giveBack))
    {
    }
    LinkLease(LinkLease&& other) noexcept
        : link(std::exchange(other.link, nullptr))
        , returnLink(std::move(other.returnLink))
    {
    }
    LinkLease& operator=(LinkLease&& other) noexcept
    {
        if (this != &other) {
            this->end(true);
            this->link = std::exchange(other.link, nullptr);
            this->returnLink = std::move(other.returnLink);
        }
        return *this;
    }
    LinkLease(const LinkLease&) = delete;
    LinkLease& operator=(const LinkLease&) = delete;
    ~LinkLease() { this->end(true); }

    /// @brief Gives the link back to be reset and lent again.
    void release() { this->end(true); }

    /// @brief Closes the link, since its state is in doubt.
    void discard() { this->end(false); }

    [[nodiscard]] explicit operator bool() const noexcept { return this->link != nullptr; }
    [[nodiscard]] Link& operator*() const noexcept { return *this->link; }
    [[nodiscard]] Link* operator->() const noexcept { return this->link; }

private:
    void end(bool reusable)
    {
        if (std::exchange(this->link, nullptr))
            this->returnLink(reusable);
    }

    Link* link { nullptr };
    Return returnLink;
};

/// @brief Which upstreams a piece of work may run on.
enum class Need : std::uint8_t {
    Primary,
    Read, ///< Any upstream that holds WorkRequest::atLeast, or is fresh enough.
};

/// @brief A caller's demand for a link.
struct WorkRequest {
    group::GroupId group;
    Need need { Need::Primary };
    std::optional<group::LogPoint> atLeast; ///< Read-your-writes: the least point that the upstream must hold.
    bool barrier { false }; ///< Read-your-writes without a token: the newest point is asked for first, and proven by a second upstream.
    std::chrono::milliseconds maxStale { 0 }; ///< If over 0, an upstream this fresh serves; atLeast holds besides.
    Time deadline; ///< A link not had by then is refused.
};

/// @brief A link granted to a piece of work.
struct Assignment {
    LinkLease lease;
    group::UpstreamId upstream;
    group::Term term { 0 }; ///< The group's term when it was granted.
    bool primary { false };
    std::optional<group::LogPoint> point; ///< For reads: what the upstream is known to hold, for monotonic reads.
};

/// @brief Result of asking for a link.
using AssignmentResult = tl::expected<Assignment, Refusal>;

/// @brief Withdraws a request that still waits when it is destroyed.
class Ticket {
public:
    virtual ~Ticket() = default;
};

/// @brief Chooses an upstream, queues while there is none, and lends a link. Registered as service `dispatch`.
class Dispatcher {
public:
    using Grant = std::function<void(AssignmentResult)>;

    virtual ~Dispatcher() = default;

    /**
     * @brief Asks for a link.
     * @param grant Called once, never from within request(), unless the ticket is destroyed before.
     */
    [[nodiscard]] virtual std::unique_ptr<Ticket> request(const WorkRequest& work, Grant grant) = 0;
};

/// @brief What became of a confirmation.
enum class Confirmation : std::uint8_t {
    Confirmed,
    Superseded, ///< A higher term is known, so it can never be confirmed in this one.
    TimedOut,
};

/// @brief Waits until a second upstream holds a write. Registered as service `confirm`.
class Confirmer {
public:
    virtual ~Confirmer() = default;

    /**
     * @brief Waits for a second upstream to confirm a point in its term.
     * @param writer The upstream that wrote it.
     * @param done Called once, never from within confirm().
     */
    virtual void confirm(const group::UpstreamId& writer, group::LogPoint point, Time deadline, std::function<void(Confirmation)> done) = 0;

    /**
     * @brief Waits for a majority to say that a term is still current (`acknowledge: term`).
     * @param done Called once, never from within confirmTerm().
     */
    virtual void confirmTerm(const group::UpstreamId& writer, group::Term term, Time deadline, std::function<void(Confirmation)> done) = 0;
};

}
