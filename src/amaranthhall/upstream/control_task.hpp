#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/upstream/control_runner.hpp"
#include "amaranthhall/upstream/dispatcher.hpp"
#include "amaranthhall/upstream/quiet_sink.hpp"

#include <functional>
#include <memory>
#include <string>

namespace amaranthhall::upstream::internal {

/// @brief One control query: it waits for a link, runs on it, and gives it back.
class ControlTask final : private QuietSink, public std::enable_shared_from_this<ControlTask> {
public:
    ControlTask(std::string upstream, std::string query, ControlRunner::Done done);

    /// @brief Begins to count the time; `ended` is called once the task is over.
    void arm(kernel::Loop& loop, Time deadline, std::function<void(ControlTask&)> ended);

    /// @brief Runs the query on a link.
    void runOn(LinkLease lease);

    /// @brief Ends the task without an answer; gives the call that tells so, to be made on a later turn.
    [[nodiscard]] std::function<void()> takeFailure();

    [[nodiscard]] const std::string& upstreamName() const noexcept { return this->upstream; }
    /// @brief Tells whether the upstream kept silent on a link that it had taken.
    [[nodiscard]] bool wasSilent() const noexcept { return this->silent; }

    [[nodiscard]] bool isWaiting() const noexcept { return !this->lease && !this->hasEnded; }

private:
    void onEnd(const BatchEnd& end) override;
    void finish(const std::optional<group::UpstreamStatus>& status);

    std::string upstream;
    std::string query;
    ControlRunner::Done done;
    std::function<void(ControlTask&)> ended;
    kernel::Registration timer;
    LinkLease lease;
    bool hasEnded { false };
    bool silent { false };
};

}
