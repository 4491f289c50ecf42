#pragma once

#include "amaranthhall/retry/decision.hpp"
#include "amaranthhall/session/answer.hpp"
#include "amaranthhall/session/attempt.hpp"
#include "amaranthhall/session/session_context.hpp"
#include "amaranthhall/session/session_state.hpp"
#include "amaranthhall/session/statement_trace.hpp"
#include "amaranthhall/session/work.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::session {

/// @brief Takes what a runner produces.
class RunnerClient {
public:
    virtual ~RunnerClient() = default;

    /// @brief Takes frames for the caller.
    virtual void give(std::string_view frames) = 0;

    /// @brief Gives the number of bytes that wait for the caller to take them.
    [[nodiscard]] virtual std::size_t backlog() const noexcept = 0;

    /// @brief The upstream takes COPY data again.
    virtual void copyReady() = 0;

    /// @brief Takes the end of a work; all its frames were given.
    virtual void workDone(bool succeeded) = 0;
};

/// @brief Takes one work at a time to an upstream and its answer back, with retries, confirmation and deadline.
class StatementRunner final : public std::enable_shared_from_this<StatementRunner>, private upstream::ResultSink {
public:
    StatementRunner(SessionContext& context, SessionState& state, RunnerClient& client);

    /**
     * @brief Runs a work.
     * @param received When its last frame came; the deadline counts from then.
     * @warning No other work may be running.
     */
    void start(Work work, Time received);

    /// @brief Withdraws a work that waits, or asks the upstream to cancel it; does nothing without one.
    void cancel();

    /// @brief Drops everything, since the caller has gone.
    void abandon();

    /// @brief Goes on reading the answer, the caller having taken what waited for it.
    void resumeReading();

    /// @brief Hands data of a COPY on; gives false if more should wait for RunnerClient::copyReady().
    [[nodiscard]] bool sendCopyData(std::string_view data) const;
    void endCopy(const std::optional<std::string>& error);
    [[nodiscard]] bool isCopyingIn() const noexcept { return this->copyingIn; }

    /// @brief Adds the next rows of a suspended portal; gives false if there is no such portal.
    [[nodiscard]] bool resumePortal(const std::string& portal, std::int32_t rowLimit, std::string& frames);
    [[nodiscard]] bool hasPortals() noexcept { return !this->answer.suspended().empty(); }
    void closePortals() { this->answer.suspended().clear(); }
    void closePortal(const std::string& portal) { this->answer.suspended().erase(portal); }

private:
    enum class Phase : std::uint8_t {
        Idle,
        Waiting, ///< For a link, or for a pause before a retry.
        Settings,
        KeyTable,
        KeyOpening,
        KeyRollback,
        KeyReplay,
        Main,
        KeyClosing,
        Confirming,
    };

    void acquire();
    void granted(upstream::AssignmentResult result);
    void proceed();
    void run(Phase next, const upstream::Batch& batch);
    void runMain();
    void runCopy();
    void finishMain(const upstream::BatchEnd& end);
    void settle(const upstream::BatchEnd& end);
    void trackTransaction(pgwire::TransactionStatus after);
    void returnLease(bool reusable);
    void confirm(const std::optional<group::UpstreamStatus>& status);
    void confirmed(upstream::Confirmation confirmation, group::LogPoint point);
    void judge(const upstream::BatchEnd& end, std::string_view sqlstate);
    void retryLater();
    void expire();
    void complete();
    void finish(bool succeeded);
    void refuse(const upstream::Refusal& refusal);
    void giveReady();
    [[nodiscard]] retry::Outcome outcomeOf(const upstream::BatchEnd& end, std::string_view sqlstate) const;
    [[nodiscard]] bool commitsAtEnd() const noexcept;
    [[nodiscard]] std::chrono::milliseconds allowedAge() const;

    void openKey();
    void finishKeyOpening(const upstream::BatchEnd& end);
    void finishKeyReplay(const upstream::BatchEnd& end);
    void closeKey();
    void finishKeyClosing(const upstream::BatchEnd& end);
    [[nodiscard]] std::optional<std::string> replayStep(std::size_t step);
    void replay();
    void recordStep(std::size_t step, std::string_view tag);
    [[nodiscard]] bool usesKey() const noexcept;
    [[nodiscard]] bool mixesKeyedTransaction() const noexcept;

    void onParameterTypes(std::size_t query, std::span<const std::uint32_t> types) override;
    void onColumns(std::size_t query, std::span<const pgwire::Column> columns) override;
    void onRow(std::size_t query, std::span<const pgwire::Value> values) override;
    void onCompleted(std::size_t query, std::string_view tag) override;
    void onError(std::size_t query, const pgwire::ErrorFields& error) override;
    void onNotice(const pgwire::ErrorFields& notice) override;
    void onParameterStatus(std::string_view name, std::string_view value) override;
    void onCopyIn(std::size_t query, std::span<const std::int16_t> columnFormats, std::int16_t format) override;
    void onCopyReady() override;
    void onCopyOut(std::size_t query, std::span<const std::int16_t> columnFormats, std::int16_t format) override;
    void onCopyData(std::size_t query, std::string_view data) override;
    void onEnd(const upstream::BatchEnd& end) override;

    SessionContext& context;
    SessionState& state;
    RunnerClient& client;
    Phase phase { Phase::Idle };
    Work work;
    Answer answer;
    StatementTrace trace;
    std::shared_ptr<Attempt> attempt;
    std::unique_ptr<upstream::Ticket> ticket;
    kernel::Registration timer;
    kernel::Registration pause;
    Time received;
    Time deadline;
    unsigned generation { 0 }; ///< Number of this work, so that late callbacks are known.
    unsigned retries { 0 };
    std::size_t offset { 0 }; ///< Queries that were put before the work's own.
    std::size_t completed { 0 }; ///< Steps that have succeeded.
    std::optional<pgwire::ErrorFields> error;
    std::size_t errorStep { 0 };
    std::optional<bool> transactionCommitted;
    bool writes { false };
    bool keyed { false }; ///< The work runs in a transaction that the runner has opened for its key.
    bool keyTableMade { false };
    bool needsPrimary { false };
    bool readingPaused { false };
    bool copyingIn { false };
    bool copyingOut { false };
};

/// @brief Builds the error of a refusal, which says plainly what became of the statement and when to come back.
[[nodiscard]] pgwire::ErrorFields makeRefusalError(const upstream::Refusal& refusal);

}
