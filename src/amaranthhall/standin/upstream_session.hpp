#pragma once

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/pgwire/frame.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"
#include "amaranthhall/standin/control_function.hpp"
#include "amaranthhall/standin/copy_text.hpp"
#include "amaranthhall/standin/session_parameters.hpp"
#include "amaranthhall/standin/sql_transaction.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::standin {

class UpstreamServer;

/// @brief One client's connection to a stand-in upstream: the server side of protocol 3.0.
class UpstreamSession final : public std::enable_shared_from_this<UpstreamSession> {
public:
    UpstreamSession(UpstreamServer& server, kernel::Socket socket);
    ~UpstreamSession();
    UpstreamSession(const UpstreamSession&) = delete;
    UpstreamSession& operator=(const UpstreamSession&) = delete;

    /// @brief Begins to read; the session must be held by a shared pointer by then.
    void start();

    /// @brief Goes on with a step that waits, and with the messages after it.
    void resume();

    /// @brief Ends the session with an error, as a server that is shutting down does.
    void terminate();

    /// @brief Rolls back its transaction, since the upstream has to go on without it.
    void interrupt() { this->transaction.interrupt(); }

    /// @brief Ends the running statement with 57014; does nothing while none runs.
    void cancel();

    /// @brief Tells whether a cancel request with these keys is meant for this session.
    [[nodiscard]] bool hasKeys(std::int32_t process, std::int32_t secret) const noexcept;

    [[nodiscard]] const std::string& application() const noexcept { return this->applicationName; }

private:
    enum class Phase : std::uint8_t {
        Startup,
        Password,
        Ready,
        Feed,
        Closed,
    };
    enum class Progress : std::uint8_t {
        Done,
        Waiting,
    };
    using Step = std::function<Progress()>;

    struct Prepared {
        std::string text;
        std::vector<std::int32_t> types;
    };
    /// A statement with its parameters, on its way through its steps.
    struct Portal {
        std::string text;
        std::vector<LoggedParameter> parameters;
        std::vector<std::int16_t> formats;
        bool describes { false }; ///< Its columns are sent before its rows, as the simple protocol does.
        std::optional<Execution> execution;
        std::optional<SqlResult> result; ///< Of a statement that SQLite does not run.
        std::optional<CopyCommand> copy;
    };
    using PortalHandle = std::shared_ptr<Portal>;

    // Messages (upstream_session.cpp).
    void received(std::string_view bytes);
    bool processNext();
    void processStartup(std::string_view body);
    void takeStartupParameters(std::string_view body);
    void welcome();
    void processFrame(const pgwire::Frame& frame);
    void processFeed(std::string_view body);
    void processQuery(std::string_view text);
    void processParse(std::string_view body);
    void processBind(std::string_view body);
    void processDescribe(std::string_view body);
    void processExecute(std::string_view body);
    void processClose(std::string_view body);
    void processSync();
    void processCopyFrame(const pgwire::Frame& frame);
    void flush();
    void closeNow(const pgwire::ErrorFields& error);

    // Steps (session_steps.cpp).
    Progress beginPortal(Portal& portal);
    Progress runPortal(Portal& portal);
    Progress sendRows(Portal& portal);
    Progress describeStatement(const Prepared& statement);
    Progress finishTransaction();
    Progress failOrRetry(const SqlFailure& failure);
    Progress waitFor(Duration delay);
    Progress answerControl(Portal& portal, const ControlCall& call);
    Progress sleep(Portal& portal, double seconds);
    [[nodiscard]] std::optional<tl::expected<SqlResult, pgwire::ErrorFields>> runSpecial(const std::string& text);
    [[nodiscard]] std::optional<pgwire::ErrorFields> findInterrupt();
    void describePortal(Portal& portal);
    void sendColumns(std::vector<pgwire::Column> columns, std::span<const std::int16_t> formats);
    bool sendRow(Portal& portal);
    void fail(const pgwire::ErrorFields& error);
    void reportParameters();

    // COPY (session_copy.cpp).
    Progress beginCopyIn(Portal& portal);
    Progress sendCopyRows(Portal& portal);
    void addCopyLines(bool last);
    void endCopyIn();

    UpstreamServer& server;
    kernel::ByteStream stream;
    pgwire::FrameReader reader;
    pgwire::FrameWriter writer;
    SqlTransaction transaction;
    SessionParameters parameters;
    std::map<std::string, std::string> reported;
    std::map<std::string, Prepared> prepared;
    std::map<std::string, PortalHandle> portals;
    std::deque<Step> steps;
    std::optional<Step> current;
    Time stepBegan;
    kernel::Registration waitTimer;
    std::optional<CopyCommand> copyIn;
    std::string copyBuffer;
    std::size_t copyRows { 0 };
    Phase phase { Phase::Startup };
    std::string applicationName;
    bool isCounted { false };
    bool isSkipping { false };
    bool isCancelled { false };
    bool isResuming { false };
    std::int32_t processKey { 0 };
    std::int32_t secretKey { 0 };
};

}
