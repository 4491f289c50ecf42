#pragma once

#include "amaranthhall/engine/caller_channel.hpp"
#include "amaranthhall/engine/dispatcher.hpp"
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

/// @brief What all sessions of a daemon share.
struct SessionContext {
    kernel::Loop& loop;
    catalog::Catalog& catalog;
    Dispatcher& dispatcher;
    RequestLog& log;
    retry::Budget budget;
    RelayRouter* relays { nullptr }; ///< Daemons that hold connections in place of this one; nullptr if there are none.
};

/**
 * @brief One caller's session: settings, prepared statements, transaction, last commit.
 *
 * Knows no protocol: a caller channel hands it typed requests, one at a time, and gets one reply for each.
 */
class Session {
public:
    Session(SessionContext& context, CallerChannel& channel);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    /// @brief Opens the session for a database, or refuses it.
    void start(std::string_view database);

    /// @brief Runs a request; the channel gets its answer within the call or later.
    void handle(Request request);

    /// @brief Runs a statement of another daemon's session, with what it needs of that session.
    void handleRelayed(RelayedRequest request);

    /// @brief Gives the position of the session's last commit.
    [[nodiscard]] const std::optional<group::LogPoint>& newestCommit() const noexcept { return this->lastCommit; }

    /// @brief Tells whether a request waits for its answer.
    [[nodiscard]] bool isBusy() const noexcept { return this->work.has_value(); }

    /// @brief Tells whether a transaction is open or has failed and was not ended yet.
    [[nodiscard]] bool inTransaction() const noexcept { return this->transaction.has_value(); }

    /// @brief Rolls the open transaction back; the next statement is told so.
    void abortTransaction(std::string_view reason);

private:
    static constexpr Duration retryPause = std::chrono::milliseconds(5); ///< About half a statement's time.

    struct Transaction {
        Loan loan; ///< Empty once it has failed, or if another daemon runs it.
        std::unique_ptr<RelayStream> stream; ///< To the daemon that runs it, if this one does not.
        std::string service;
        bool wrote { false };
    };

    /// How a statement outside a transaction is run.
    enum class Mode : std::uint8_t {
        Begin, ///< Opens a transaction that the caller asked for.
        Plain,
        Wrapped, ///< A read within a transaction of its own, which only a leading primary grants.
    };

    struct Work {
        Request request;
        catalog::Route route;
        Mode mode { Mode::Plain };
        bool needsLeader { false };
        std::optional<group::LogPoint> after;
        Time arrived;
        freshness::Micros arrivedBoot { 0 };
        Time deadline;
        Time sentAt;
        freshness::Micros sentBoot { 0 };
        bool isSent { false }; ///< The statement itself may have reached an upstream.
        unsigned retries { 0 };
        unsigned unconfirmed { 0 }; ///< Attempts that met a leader which may not have caught up in its term.
        std::vector<std::string> tried;
        std::vector<std::string> triedHomes; ///< Daemons to which the way broke, or that refused.
        std::string upstream; ///< Of the last attempt.
    };

    void handleLocal(const Request& request);
    void handleSettled(Request request);
    void beginWork(Request request);
    void planReads();
    void attempt();
    void onGranted(tl::expected<Loan, Refusal> result);
    void prepareLink(std::function<void()> next);
    void runOutside();
    void runWrapped();
    void runBegin();
    void runInside();
    [[nodiscard]] bool mustRelay();
    [[nodiscard]] bool mayDetour() const noexcept;
    [[nodiscard]] bool startRelay();
    [[nodiscard]] bool mayTryAnotherHome(const Reply& reply);
    void runRelayed();
    void onRelayed(RelayedReply relayed);
    void onRelayLost();
    void runCommit();
    void sendStatement(Link::Done done);
    void onReply(Reply reply);
    void onBeginReply(Reply reply);
    void onInsideReply(Reply reply);
    void onCommitReply(Reply reply);
    void settle(Reply reply);
    void retryOrAnswer(Reply reply, bool wasLost);
    void retryLater(const Reply& reply);
    void watchStall();
    void onDeadline();
    void failTransaction(Reply reply);
    [[nodiscard]] bool isConfirmed(const Reply& reply);
    void leaveUnconfirmed();
    void noteProof(const Reply& reply);
    void answer(Reply reply);
    void answerCode(ReplyCode code, std::string_view detail);
    [[nodiscard]] Loan& loan() noexcept { return this->transaction ? this->transaction->loan : this->current; }
    [[nodiscard]] TransactionState state() const noexcept;
    [[nodiscard]] bool writes(const Request& request) const;
    void watchIdleTransaction();

    /// Wraps a callback so that it does nothing once the session has gone or its request has been answered.
    template <typename Function>
    [[nodiscard]] auto guarded(Function function)
    {
        return [this, function = std::move(function), living = std::weak_ptr(this->alive), expected = this->generation](auto&&... arguments) mutable {
            if (!living.expired() && this->generation == expected)
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    SessionContext& context;
    CallerChannel& channel;
    std::string database;
    SessionSettings settings;
    std::map<std::string, PreparedStatement, std::less<>> statements;
    std::optional<group::LogPoint> lastCommit;
    std::optional<Transaction> transaction;
    std::optional<Work> work;
    std::optional<catalog::Route> relayedRoute; ///< Of another daemon's session, which knows its configuration.
    std::chrono::milliseconds relayedTime { 0 }; ///< That the other daemon's statement has left.
    Loan current;
    std::unique_ptr<RelayStream> currentStream; ///< Of a statement outside a transaction.
    Dispatcher::Ticket ticket;
    kernel::Registration deadlineTimer;
    kernel::Registration pauseTimer;
    kernel::Registration stallTimer;
    kernel::Registration idleTimer;
    std::uint64_t generation { 0 }; ///< Replies of an earlier request or attempt are dropped.
    std::shared_ptr<int> alive { std::make_shared<int>(0) };
};

}
