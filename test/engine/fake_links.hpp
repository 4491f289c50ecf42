#pragma once

#include "amaranthhall/engine/link.hpp"
#include "amaranthhall/kernel/loop.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::engine::fakes {

/// @brief An upstream of a test: what it answers, and what it was sent.
struct FakeUpstream {
    /// @brief Answers to commands by the beginning of their text; the last one stays. Others succeed.
    std::map<std::string, std::deque<Reply>, std::less<>> replies;
    std::vector<std::string> sent; ///< Texts in order, each with the caller's id and wanted position before it.
    group::LogPoint point { .term = 1, .position = 10 };
    group::Term term { 0 }; ///< Newest term that it knows, if not that of its last entry.
    bool isReplica { false }; ///< As it tells of itself when asked for its status.
    group::Position unappliedPositions { 0 }; ///< Positions that it has received and does not show yet.
    bool refusesConnections { false };
    bool isAtConnectionLimit { false }; ///< It has no room for another connection.
    bool isSilent { false }; ///< Takes commands and answers nothing.
    int opened { 0 };
    int closed { 0 };
};

/// @brief Gives a command as it is recorded in FakeUpstream::sent.
[[nodiscard]] std::string describe(const Command& command);

/// @brief Opens links to the fake upstreams of a test.
class FakeLinkFactory final : public LinkFactory {
public:
    explicit FakeLinkFactory(kernel::Loop& loop) noexcept
        : loop(loop)
    {
    }

    [[nodiscard]] std::unique_ptr<Opening> open(const catalog::UpstreamEntry& upstream, Duration timeout, Opened opened, std::function<void()> closed) override;
    [[nodiscard]] std::optional<UpstreamStatus> readStatus(const Reply& reply) const override;

    std::map<std::string, FakeUpstream> upstreams; ///< By id.

private:
    kernel::Loop& loop;
};

}
