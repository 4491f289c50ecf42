#pragma once

#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/upstream/pq_link.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace amaranthhall::upstream {

/// @brief What is asked of an upstream's control functions.
enum class ControlKind : std::uint8_t {
    Status,
    Fence,
    Promote,
};

/// @brief A question or order to an upstream.
struct ControlRequest {
    ControlKind kind { ControlKind::Status };
    group::Term term { 0 }; ///< Of a fence or a promotion.
};

/// @brief An upstream's answer.
struct ControlAnswer {
    ControlRequest request;
    bool accepted { false }; ///< Whether a fence or a promotion was accepted.
    group::UpstreamStatus status;
    Time askedAt;
    Duration feedAge {}; ///< How long ago the upstream last heard from a primary; zero if it does not tell.
};

/// @brief What a probe reports.
struct ProbeCallbacks {
    std::function<void()> sent; ///< A question goes out, or a connection for it is begun.
    std::function<void(const ControlAnswer&)> answered;
    std::function<void(group::Symptom)> failed; ///< Questions that were under way are lost.
};

/// @brief Asks one upstream for its status and gives it orders, over one connection for control.
class UpstreamProbe final : private ResultSink {
public:
    UpstreamProbe(kernel::Loop& loop, LinkOptions options, ProbeCallbacks callbacks);
    ~UpstreamProbe() override;
    UpstreamProbe(const UpstreamProbe&) = delete;
    UpstreamProbe& operator=(const UpstreamProbe&) = delete;

    /// @brief Asks for the status unless a question is under way already.
    void ask();

    /// @brief Asks for the status if the last question went out longer ago than an interval.
    void askAfter(Duration interval);

    /// @brief Gives an order; it goes before questions that wait.
    void order(const ControlRequest& request);

private:
    void proceed();
    void connect();
    void send();
    void drop(group::Symptom symptom);

    void onParameterTypes(std::size_t, std::span<const std::uint32_t>) override { }
    void onColumns(std::size_t query, std::span<const pgwire::Column> columns) override;
    void onRow(std::size_t query, std::span<const pgwire::Value> values) override;
    void onCompleted(std::size_t, std::string_view) override { }
    void onError(std::size_t, const pgwire::ErrorFields&) override { }
    void onNotice(const pgwire::ErrorFields&) override { }
    void onParameterStatus(std::string_view, std::string_view) override { }
    void onCopyIn(std::size_t, std::span<const std::int16_t>, std::int16_t) override { }
    void onCopyOut(std::size_t, std::span<const std::int16_t>, std::int16_t) override { }
    void onCopyData(std::size_t, std::string_view) override { }
    void onEnd(const BatchEnd& end) override;

    kernel::Loop& loop;
    LinkOptions options;
    ProbeCallbacks callbacks;
    std::unique_ptr<PqLink> link;
    std::deque<ControlRequest> waiting;
    std::optional<ControlRequest> running;
    std::vector<std::string> columns;
    std::map<std::string, std::string> cells;
    Time askedAt;
    bool isOpen { false };
    kernel::Registration timeout;
    kernel::Registration dropTimer;
};

}
