#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/socket.hpp"
#include "amaranthhall/upstream/cancel_request.hpp"
#include "amaranthhall/upstream/link.hpp"

#include <functional>
#include <libpq-fe.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace amaranthhall::upstream {

/// @brief Where and how a link connects.
struct LinkOptions {
    kernel::Address address;
    std::string database;
    std::string user;
    std::string password;
    std::string tlsMode;
    std::string tlsRootCertificate;
    Duration connectTimeout;
    std::string applicationName { "amaranthhall" };
};

/// @brief A link over libpq's non-blocking interface, in pipeline and single-row mode.
class PqLink final : public Link {
public:
    /// @brief Called once the connection is open, with an empty error, or has failed, with its fields.
    using Opened = std::function<void(const pgwire::ErrorFields& error)>;

    /// @brief Called when an idle connection breaks.
    using Broken = std::function<void()>;

    /// @brief Called with each status that came along with a batch, before ResultSink::onEnd().
    using StatusObserver = std::function<void(const group::UpstreamStatus&)>;

    PqLink(kernel::Loop& loop, LinkOptions options);
    ~PqLink() override;
    PqLink(const PqLink&) = delete;
    PqLink& operator=(const PqLink&) = delete;

    /// @brief Begins to connect.
    void open(Opened opened, Broken broken);

    void run(const Batch& batch, ResultSink& sink) override;
    void runCopy(const std::string& text, ResultSink& sink) override;
    bool sendCopyData(std::string_view data) override;
    void endCopy(const std::optional<std::string>& error) override;
    void pauseReading() override;
    void resumeReading() override;
    void cancel() override;
    [[nodiscard]] std::string_view parameterStatus(const std::string& name) const override;

    void observeStatus(StatusObserver observer) { this->statusObserver = std::move(observer); }

    /// @brief Tells whether a batch is running.
    [[nodiscard]] bool isBusy() const noexcept { return this->sink != nullptr; }

    /// @brief Tells whether the connection has broken.
    [[nodiscard]] bool isBroken() const noexcept { return this->hasBroken; }

    /// @brief Tells whether the upstream kept silent for the whole time allowed to connect.
    [[nodiscard]] bool hasTimedOut() const noexcept { return this->timedOut; }

    /// @brief Tells whether an answer is half-read because reading is paused.
    [[nodiscard]] bool isPaused() const noexcept { return this->readingPaused; }

    /// @brief Tells whether session state may be left on the connection since markClean(), besides that of plain SELECTs.
    [[nodiscard]] bool holdsState() const noexcept;

    [[nodiscard]] bool isInTransaction() const noexcept;

    /// @brief Gives up the connection: a running batch ends as lost on the next turn.
    void abandon();

    /**
     * @brief Closes the connection; no callback and no sink is called any more.
     * @return The socket, shut down for writing, on which the upstream's own close shows; empty if
     * nothing was connected or libpq has found the connection broken.
     */
    kernel::Socket close();

    /// @brief Forgets the state that a reset has dropped.
    void markClean() noexcept { this->stateLeft = false; }

private:
    struct ConnectionCloser {
        void operator()(PGconn* connection) const noexcept { PQfinish(connection); }
    };

    /// @brief Where a COPY stands.
    enum class CopyPhase : std::uint8_t {
        None,
        Started,
        In,
        Out,
        Ending,
    };

    using ReportedParameter = std::pair<std::string, std::string>;

    void pollConnect();
    void watchConnect(kernel::Readiness interest);
    void finishOpen(const pgwire::ErrorFields& error);
    void onReady();
    void updateWatch();
    void flush();
    void readAnswers();
    void readBatch();
    void readCopy();
    bool takeResult(PGresult& result);
    bool takeSync();
    bool takeCopyOut();
    void takeCopyResult(PGresult& result);
    void finishCopy();
    void takeDescription(PGresult& result);
    void takeTuples(PGresult& result, bool last);
    void takeError(PGresult& result);
    void complete(std::string_view tag);
    void releaseCompletion();
    [[nodiscard]] bool sendBatch(const Batch& batch);
    [[nodiscard]] bool sendQuery(const Query& query);
    [[nodiscard]] bool sendPositionQuery();
    void beginBatch(ResultSink& sink, std::size_t queries);
    void beginQuery();
    void endBatch(bool lost);
    void endLater();
    void markBroken();
    void noteText(std::string_view text) noexcept;
    void reportParameters();
    static void takeNotice(void* self, const PGresult* result);

    kernel::Loop& loop;
    LinkOptions options;
    std::unique_ptr<PGconn, ConnectionCloser> connection;
    std::optional<internal::BackendKey> backendKey;
    std::unique_ptr<internal::KeyTrace> keyTrace;
    kernel::Registration readWatch;
    kernel::Registration writeWatch;
    kernel::Registration connectTimer;
    Opened opened;
    Broken broken;
    StatusObserver statusObserver;
    ResultSink* sink { nullptr };
    std::size_t queryCount { 0 };
    std::size_t queryIndex { 0 };
    std::size_t syncsLeft { 0 };
    std::vector<QueryKind> kinds;
    CopyPhase copyPhase { CopyPhase::None };
    bool copiedIn { false };
    bool copyBlocked { false };
    bool columnsReported { false };
    bool inPosition { false };
    bool readingPaused { false };
    bool hasBroken { false };
    bool timedOut { false };
    bool stateLeft { false };
    std::optional<std::string> heldTag; ///< Tag of the last query, held until its commit has succeeded.
    BatchEnd end;
    std::vector<ReportedParameter> parameters;
    std::vector<pgwire::Column> columns;
    std::vector<pgwire::Value> values;
    std::vector<const char*> sentValues;
    std::vector<int> sentLengths;
    std::vector<int> sentFormats;
    std::shared_ptr<bool> alive;
};

}
