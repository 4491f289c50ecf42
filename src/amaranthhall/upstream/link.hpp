#pragma once

#include "amaranthhall/group/upstream_status.hpp"
#include "amaranthhall/pgwire/error_fields.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::upstream {

/// @brief What one query of a batch asks for.
enum class QueryKind : std::uint8_t {
    Execute, ///< Parses and runs the text.
    Prepare, ///< Parses the text under a name.
    ExecutePrepared, ///< Runs a prepared statement by its name.
    DescribePrepared, ///< Tells the parameters and columns of a prepared statement.
};

/// @brief One query with its parameters.
struct Query {
    QueryKind kind { QueryKind::Execute };
    std::string text;
    std::string statement; ///< Name of the prepared statement; empty for the unnamed one.
    std::vector<std::uint32_t> parameterTypes; ///< Object ids; 0 or missing lets the upstream infer.
    std::vector<std::optional<std::string>> parameters;
    std::vector<std::int16_t> parameterFormats; ///< None, one for all, or one each; 0 is text.
    std::int16_t resultFormat { 0 };
};

/// @brief Queries that go down in one pipeline and, unless a transaction is open, commit together.
struct Batch {
    std::vector<Query> queries;
    bool withPosition { false }; ///< Asks for the upstream's status after the commit, in the same round trip.
};

/// @brief How a batch ended.
struct BatchEnd {
    bool lost { false }; ///< The connection broke before the end; the last answers are missing.
    bool sent { false }; ///< Bytes of the batch may have reached the upstream.
    pgwire::TransactionStatus transaction { pgwire::TransactionStatus::Idle };
    std::optional<group::UpstreamStatus> status; ///< The answer to Batch::withPosition.
};

/// @brief Takes the answers of a batch; each call names the query by its index. Views hold for the call only.
class ResultSink {
public:
    virtual ~ResultSink() = default;

    virtual void onParameterTypes(std::size_t query, std::span<const std::uint32_t> types) = 0;
    virtual void onColumns(std::size_t query, std::span<const pgwire::Column> columns) = 0;
    virtual void onRow(std::size_t query, std::span<const pgwire::Value> values) = 0;

    /**
     * @brief The query succeeded; the tag is empty for an empty query and for Prepare and DescribePrepared.
     *
     * The last query of a batch is reported once its commit has succeeded; a commit that fails is an
     * error of that query.
     */
    virtual void onCompleted(std::size_t query, std::string_view tag) = 0;

    /// @brief The query failed; the queries after it in the batch do not run and are not reported.
    virtual void onError(std::size_t query, const pgwire::ErrorFields& error) = 0;

    virtual void onNotice(const pgwire::ErrorFields& notice) = 0;
    virtual void onParameterStatus(std::string_view name, std::string_view value) = 0;

    /// @brief The upstream awaits COPY data; answered by Link::sendCopyData() and Link::endCopy().
    virtual void onCopyIn(std::size_t query, std::span<const std::int16_t> columnFormats, std::int16_t format) = 0;

    /// @brief The upstream takes COPY data again, after Link::sendCopyData() gave false.
    virtual void onCopyReady() { }

    virtual void onCopyOut(std::size_t query, std::span<const std::int16_t> columnFormats, std::int16_t format) = 0;
    virtual void onCopyData(std::size_t query, std::string_view data) = 0;

    /// @brief The batch has ended; the last call. The link may be used or given back from within it.
    virtual void onEnd(const BatchEnd& end) = 0;
};

/// @brief One connection to an upstream, lent to one user at a time.
class Link {
public:
    virtual ~Link() = default;

    /**
     * @brief Sends a batch.
     * @param sink Takes the answers; must live until ResultSink::onEnd().
     * @warning The link must be idle: no batch may be running.
     */
    virtual void run(const Batch& batch, ResultSink& sink) = 0;

    /**
     * @brief Runs one COPY statement outside the pipeline.
     *
     * BatchEnd::status is set after a COPY that put data in and committed.
     *
     * @warning The link must be idle, and the text must hold one statement.
     */
    virtual void runCopy(const std::string& text, ResultSink& sink) = 0;

    /**
     * @brief Sends data after ResultSink::onCopyIn().
     * @return False if more should wait for ResultSink::onCopyReady(); the data itself is taken in any case.
     */
    virtual bool sendCopyData(std::string_view data) = 0;

    /// @brief Ends the COPY; an error message makes the upstream roll it back.
    virtual void endCopy(const std::optional<std::string>& error) = 0;

    /// @brief Stops reading answers until resumeReading(), so that a slow caller holds the upstream back.
    virtual void pauseReading() = 0;
    virtual void resumeReading() = 0;

    /// @brief Asks the upstream to cancel the running batch; its answers still come.
    virtual void cancel() = 0;

    /// @brief Gives the parameters that the upstream has reported, such as `server_version`.
    [[nodiscard]] virtual std::string_view parameterStatus(const std::string& name) const = 0;
};

}
