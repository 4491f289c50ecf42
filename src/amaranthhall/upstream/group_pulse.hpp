#pragma once

#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/upstream/control_runner.hpp"

#include <functional>
#include <span>
#include <string>
#include <unordered_set>
#include <vector>

namespace amaranthhall::upstream {

/// @brief What one upstream said in a round.
struct PulseAnswer {
    std::string upstream;
    group::UpstreamStatus status;
};

/// @brief Tells the newest point that a read without a token must see; gives nothing while it is not proven.
[[nodiscard]] std::optional<group::LogPoint> proveBarrier(std::span<const PulseAnswer> answers) noexcept;

/// @brief Whether a term is still current.
enum class TermState : std::uint8_t {
    Unproven,
    Current, ///< A majority says that it is.
    Superseded,
};

/// @brief Judges a term by the answers of a round.
/// @param upstreams Number of upstreams of the group.
[[nodiscard]] TermState judgeTerm(std::span<const PulseAnswer> answers, group::Term term, std::size_t upstreams) noexcept;

/**
 * @brief Asks all upstreams of a group for their status, one round for all that wait.
 *
 * Who joins while a round is under way takes part in the next, so that every answer was asked for after
 * the joining. An upstream that has not answered yet is not asked again.
 */
class GroupPulse {
public:
    /// @brief Judges the answers of a round so far; true once it needs no more.
    using Judge = std::function<bool(std::span<const PulseAnswer>)>;

    GroupPulse(kernel::Loop& loop, group::GroupSource& groups, ControlRunner& runner, group::GroupId group);

    /// @brief Takes part in the next round, and in further ones until the judge gives true.
    void join(Judge judge);

private:
    void startRound();
    void startLater();
    void ask(const group::UpstreamId& id);
    void take(const std::string& name, std::uint64_t askedIn, const std::optional<group::UpstreamStatus>& status);
    void endRound();

    kernel::Loop& loop;
    group::GroupSource& groups;
    ControlRunner& runner;
    group::GroupId group;
    std::uint64_t round { 0 };
    bool isRunning { false };
    std::vector<PulseAnswer> answers;
    std::vector<Judge> current;
    std::vector<Judge> next;
    std::unordered_set<std::string> unanswered;
    std::size_t outstanding { 0 };
    kernel::Registration retryTimer;
    std::shared_ptr<bool> alive;
};

}
