#pragma once

#include "amaranthhall/budget/fwd.hpp"
#include "amaranthhall/engine/caller_channel.hpp"
#include "amaranthhall/engine/commit_guard.hpp"
#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/engine/operation_limiter.hpp"
#include "amaranthhall/engine/relay.hpp"
#include "amaranthhall/engine/request.hpp"
#include "amaranthhall/engine/request_log.hpp"
#include "amaranthhall/retry/budget.hpp"
#include "amaranthhall/retry/decision.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthhall::engine {

/// @brief Dependencies shared by all sessions of a daemon.
struct SessionContext {
    kernel::Loop& loop;
    catalog::Catalog& catalog;
    Dispatcher& dispatcher;
    RequestLog& log;
    retry::Budget budget;
    OperationLimiter* limiter { nullptr }; ///< Limits the operations of organisations; nullptr if there are no limits.
    CommitGuard* commitGuard { nullptr }; ///< Holds back acknowledgements of commits that an upstream which may be promoted lacks; nullptr if none are.
    RelayRouter* relays { nullptr }; ///< Routes statements to other daemons; nullptr if there are none.
    budget::BudgetGuard* guard { nullptr }; ///< Limits what connections hold; nullptr if nothing does.
};

/**
 * @brief A caller's session: settings, prepared statements, transaction and last commit.
 *
 * Independent of the wire protocol: a caller channel passes in typed requests, one at a time, and receives one reply for each.
 */
class Session {
public:
    Session(SessionContext& context, CallerChannel& channel);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    /**
     * @brief Opens the session on a database, or refuses it.
     * @param key The caller's API key; empty if it presented none.
     */
    void start(std::string_view database, std::string_view key);

    /// @brief Runs a request; the channel receives the reply during the call or later.
    void handle(Request request);

    /// @brief Runs a statement relayed from another daemon's session, using the session state that came with it.
    void handleRelayed(RelayedRequest request);

    /// @brief Returns the log position of the session's last commit.
    [[nodiscard]] const std::optional<group::LogPoint>& newestCommit() const noexcept { return this->lastCommit; }

    /// @brief Returns the memory that settings and prepared statements occupy, in bytes.
    [[nodiscard]] std::size_t stateBytes() const noexcept { return this->heldState; }

    /// @brief Returns whether a request is in progress.
    [[nodiscard]] bool isBusy() const noexcept { return this->execution.has_value(); }

    /// @brief Returns the state that the caller is told.
    [[nodiscard]] TransactionState state() const noexcept;

    /// @brief Returns whether a transaction is open, or has failed and has not been ended yet.
    [[nodiscard]] bool inTransaction() const noexcept { return this->transaction.has_value(); }

    /**
     * @brief Rolls back an open transaction without a statement in progress if the caller's key is no longer accepted.
     * @return False if the key is not accepted.
     */
    bool review();

    /// @brief Rolls back the open transaction; the next statement receives an error.
    void abortTransaction(std::string_view reason);

    /// @brief Answers the request in progress, if any, at once: as not run if it was not sent or writes nothing, else as of unknown outcome.
    void abandonRequest(std::string_view reason);

private:
    static constexpr Duration retryDelay = std::chrono::milliseconds(5); ///< About half the duration of a statement.

    struct Transaction {
        AcquiredLink link; ///< Empty once the transaction has failed, or if another daemon runs it.
        std::unique_ptr<RelayStream> stream; ///< Stream to the daemon that runs the transaction; null if this one does.
        catalog::Route route; ///< As of its beginning; changes of the route apply to later transactions.
        std::string organisation; ///< For which it runs.
        bool hasWritten { false };
    };

    /// How a statement outside a transaction is executed.
    enum class Mode : std::uint8_t {
        Begin, ///< Opens a transaction requested by the caller.
        Plain, ///< Sends the statement by itself.
        Wrapped, ///< Runs a read in a transaction of its own, which only the leader accepts.
    };

    struct Execution {
        Request request;
        catalog::Route route;
        identity::Identity identity;
        Mode mode { Mode::Plain };
        bool needsLeader { false };
        std::optional<group::LogPoint> after;
        Time arrivedAt;
        freshness::Micros arrivedBootTime { 0 };
        Time deadline;
        Time sentAt;
        freshness::Micros sentBootTime { 0 };
        bool isAdmitted { false }; ///< It was counted towards the limit of its organisation.
        bool isCommitHeld { false }; ///< It is committed at an upstream, and waits until the one that is to be promoted has it.
        bool isSent { false }; ///< The statement may have reached an upstream or another daemon.
        unsigned retries { 0 };
        unsigned unconfirmedAttempts { 0 }; ///< Attempts on a leader that may not have caught up in its term.
        std::vector<std::string> tried;
        std::vector<std::string> triedDaemons; ///< Daemons that refused the statement, stalled or lost the connection.
        std::string upstream; ///< Upstream or daemon of the last attempt.
    };

    void handleSessionCommand(const Request& request);
    [[nodiscard]] Reply changeState(const Request& request);
    [[nodiscard]] ReplyCode checkGrowth(std::size_t before, std::size_t after) const;
    void handleStatement(Request request);
    void startExecution(Request request);
    [[nodiscard]] std::optional<identity::Identity> identify(const catalog::Route& route) const;
    [[nodiscard]] bool refreshIdentity();
    [[nodiscard]] bool checkTransactionIdentity();
    void planExecution();
    void attempt();
    [[nodiscard]] bool startAdmission();
    void acquireLink();
    void onLinkAcquired(tl::expected<AcquiredLink, Refusal> result);
    void prepareLink(std::function<void()> next);
    void runOutsideTransaction();
    void runWrapped();
    void runBegin();
    void runInTransaction();
    [[nodiscard]] bool mustRelay();
    [[nodiscard]] bool mayRelay() const noexcept;
    [[nodiscard]] unsigned leaderRoundTrips() const;
    [[nodiscard]] bool startRelay();
    [[nodiscard]] bool mayTryAnotherDaemon(const Reply& reply);
    void runRelayed();
    void onRelayed(RelayedReply relayed);
    void onRelayLost();
    void runCommit();
    void sendStatement(Link::Done done);
    void onReply(Reply reply);
    void onBeginReply(Reply reply);
    void onTransactionReply(Reply reply);
    void onCommitReply(Reply reply);
    void acknowledgeCommit(Reply reply, const std::string& service, const std::string& upstream);
    void retryOrReply(Reply reply, bool wasLost);
    void retryLater(const Reply& reply);
    void watchForStall();
    [[nodiscard]] bool noteSilentStream(Time now);
    void onDeadline();
    void giveUp(std::string_view reason);
    void failTransaction(Reply reply);
    [[nodiscard]] bool isConfirmed(const Reply& reply);
    void retryUnconfirmedLeader();
    void noteProof(const Reply& reply);
    [[nodiscard]] Transaction beginTransaction();
    void sendReply(Reply reply);
    void sendError(ReplyCode code, std::string_view detail);
    [[nodiscard]] AcquiredLink& activeLink() noexcept { return this->transaction ? this->transaction->link : this->currentLink; }
    [[nodiscard]] RelayStream* activeStream() const noexcept { return this->transaction ? this->transaction->stream.get() : this->currentStream.get(); }
    [[nodiscard]] bool writes(const Request& request) const;
    void watchIdleTransaction();

    /// Wraps a callback so that it is ignored after the session was destroyed or the generation has changed.
    template <typename Function>
    [[nodiscard]] auto guarded(Function function)
    {
        return [this, function = std::move(function), lifetime = std::weak_ptr(this->alive), expectedGeneration = this->generation](auto&&... arguments) mutable {
            if (!lifetime.expired() && this->generation == expectedGeneration)
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    SessionContext& context;
    CallerChannel& channel;
    std::string database;
    SessionSettings settings;
    std::map<std::string, PreparedStatement, std::less<>> statements;
    std::size_t heldState { 0 }; ///< Bytes of settings and prepared statements.
    std::optional<group::LogPoint> lastCommit;
    std::optional<Transaction> transaction;
    std::optional<Execution> execution;
    identity::Credential credential; ///< Of the caller.
    std::optional<identity::Identity> relayedIdentity; ///< Identity sent by the daemon that owns the session, according to its configuration.
    std::optional<catalog::Route> relayedRoute; ///< Route sent by the daemon that owns the session, according to its configuration.
    std::chrono::milliseconds relayedTimeLeft { 0 }; ///< Time until the deadline of the relayed statement.
    AcquiredLink currentLink;
    std::unique_ptr<RelayStream> currentStream; ///< Stream of a relayed statement outside a transaction.
    Dispatcher::Ticket ticket;
    kernel::Registration deadlineTimer;
    kernel::Registration retryTimer;
    kernel::Registration stallTimer;
    kernel::Registration idleTimer;
    std::uint64_t generation { 0 }; ///< Incremented to drop replies to earlier requests and attempts.
    std::shared_ptr<int> alive { std::make_shared<int>(0) };
};

}
