#pragma once

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/pgwire/frame.hpp"
#include "amaranthhall/session/authentication.hpp"
#include "amaranthhall/session/extended_query.hpp"
#include "amaranthhall/session/session_context.hpp"
#include "amaranthhall/session/session_state.hpp"
#include "amaranthhall/session/startup.hpp"
#include "amaranthhall/session/statement_runner.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace amaranthhall::session {

class CallerSession;

/// @brief Owns sessions and knows what concerns all of them.
class SessionOwner {
public:
    virtual ~SessionOwner() = default;

    /// @brief Forgets a session that has ended.
    virtual void remove(CallerSession& session) = 0;

    /// @brief Tells whether one more session of a service may be opened.
    [[nodiscard]] virtual bool mayOpen(const table::ServiceRow& service) const noexcept = 0;

    /// @brief Gives a new session the key by which its statements are cancelled.
    [[nodiscard]] virtual CancelKey makeCancelKey(CallerSession& session) = 0;

    /// @brief Cancels the running statement of the session that has a key.
    virtual void cancel(const CancelKey& key) = 0;
};

/// @brief One caller's connection: the server side of protocol 3.0.
class CallerSession final : public std::enable_shared_from_this<CallerSession>, private RunnerClient {
public:
    CallerSession(SessionContext& context, SessionOwner& owner, kernel::Socket socket);
    ~CallerSession() override;

    /// @brief Begins the timeout within which the caller has to have started its session.
    void start();

    /// @brief Asks the upstream to cancel the running statement.
    void cancel();

    /// @brief Closes the session at its next statement boundary outside of a transaction.
    void drain();

    /// @brief Ends the session at once; tells whether work was cut.
    bool cut();

    /// @brief Gives the service that the session is of; empty until it has started.
    [[nodiscard]] const std::string& service() const noexcept { return this->state.group.service; }

    [[nodiscard]] const CancelKey& cancelKey() const noexcept { return this->key; }

private:
    void received(std::string_view bytes);
    void closed();
    void processFrames();
    void processStartup(std::string_view body);
    void openSession(const StartupMessage& message);
    void beginAuthentication(const StartupMessage& message);
    void processPassword(const pgwire::Frame& frame);
    void answerTlsRequest();
    void receivePlaintext(std::string_view bytes);
    void send(std::string_view bytes);
    [[nodiscard]] std::optional<StartupError> applyParameters(const StartupMessage& message);
    void welcome();
    void processFrame(const pgwire::Frame& frame);
    void processQuery(std::string_view text);
    void processExtended(const pgwire::Frame& frame);
    void processClose(std::string_view body);
    void processExecute(std::string_view body);
    void processCopyData(const pgwire::Frame& frame);
    void sync();
    void flushExtended();
    void startWork(Work work);
    void finishFailedTransaction(const Work& work);
    void failStatement(const pgwire::ErrorFields& error);
    void endCycle();
    void endWrappedTransaction();
    void endWithError(const StartupError& error);
    void giveUpWork();
    void closeIfDraining();
    void releaseMemory();
    [[nodiscard]] tl::expected<std::optional<std::string>, pgwire::ErrorFields> answerLocally(const statement::Classification& statement);
    [[nodiscard]] std::span<const std::string> safeFunctions() const noexcept;
    [[nodiscard]] ExtendedQuery& extendedQuery();

    void give(std::string_view frames) override;
    [[nodiscard]] std::size_t backlog() const noexcept override;
    void copyReady() override;
    void workDone(bool succeeded) override;

    SessionContext& context;
    SessionOwner& owner;
    kernel::ByteStream stream;
    std::unique_ptr<TlsChannel> tls; ///< Missing on a plain connection.
    std::unique_ptr<Authentication> authentication;
    pgwire::FrameReader reader;
    SessionState state;
    CancelKey key;
    std::shared_ptr<StatementRunner> runner;
    std::unique_ptr<ExtendedQuery> extended;
    kernel::Registration startupTimer;
    Time receivedAt;
    bool isStarted { false };
    bool isBusy { false };
    bool isCopyBlocked { false }; ///< The upstream is not taking COPY data now.
    bool isSimple { false }; ///< The running work came by the simple protocol.
    bool isSkipping { false }; ///< Messages are dropped until Sync.
    bool awaitsSync { false }; ///< ReadyForQuery follows the running work.
    bool isWrapped { false }; ///< The open transaction is the implicit one of messages that were flushed.
    bool isDraining { false };
    bool isClosing { false };
};

}
