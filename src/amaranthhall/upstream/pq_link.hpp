#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/upstream/link.hpp"

#include <deque>
#include <functional>
#include <libpq-fe.h>
#include <memory>
#include <string>

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

    PqLink(kernel::Loop& loop, LinkOptions options);
    ~PqLink() override;

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

    /// @brief Tells whether a batch is running.
    [[nodiscard]] bool isBusy() const noexcept { return this->sink != nullptr; }

private:
    struct ConnectionCloser {
        void operator()(PGconn* connection) const noexcept { PQfinish(connection); }
    };

    void pollConnect();
    void finishOpen(const pgwire::ErrorFields& error);
    void onReady(kernel::Readiness readiness);
    void updateWatch();
    void flush();
    void readAnswers();
    bool takeResult(PGresult& result);
    void takeTuples(PGresult& result, bool last);
    void takePosition(PGresult& result);
    void reportColumns(PGresult& result);
    bool sendQuery(const Query& query);
    void beginBatch(ResultSink& sink);
    void nextQuery();
    void endBatch(bool lost);

    kernel::Loop& loop;
    LinkOptions options;
    std::unique_ptr<PGconn, ConnectionCloser> connection;
    kernel::Registration readWatch;
    kernel::Registration writeWatch;
    kernel::Registration connectTimer;
    Opened opened;
    Broken broken;
    ResultSink* sink { nullptr };
    std::size_t queryCount { 0 };
    std::size_t queryIndex { 0 };
    std::size_t syncsLeft { 0 };
    bool columnsReported { false };
    bool inPosition { false };
    bool readingPaused { false };
    BatchEnd end;
    std::shared_ptr<bool> alive;
};

}
