#pragma once

#include "amaranthhall/placement/upstream_health.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace amaranthhall::placement {

/// @brief One upstream that may take a statement.
struct Candidate {
    std::string_view id;
    const UpstreamHealth* health { nullptr };
    std::uint32_t slots { 1 }; ///< Statements that it runs at once.
    std::uint32_t running { 0 }; ///< Statements of this daemon that it has not answered.
    std::uint32_t limit { 2 }; ///< Statements that this daemon may have running there.
    std::uint32_t idle { 0 }; ///< Links that can be lent at once.
    bool canOpen { false }; ///< One more link may be opened.
    bool isLeader { false };
    bool isDraining { false };
    bool isLagging { false }; ///< Its log is not expected to hold the wanted position yet.
    bool wasTried { false }; ///< An earlier attempt of the same statement failed there.
    bool isSameZone { false }; ///< In this daemon's zone.
};

/// @brief What to do with a statement.
struct Choice {
    enum class Step : std::uint8_t {
        Serve, ///< Lend an idle link of the candidate.
        Open, ///< Open a link to the candidate, and wait.
        Wait, ///< All links are lent.
        Refuse, ///< No upstream can serve it now.
    };

    Step step { Step::Refuse };
    std::size_t candidate { 0 }; ///< Index; set for Serve and Open.
};

/**
 * @brief Chooses an upstream for a statement that any upstream of the service may serve.
 *
 * The one with the least expected time is chosen: its average time, more for each statement that this daemon has
 * running there over its slots. The leader is left to writes while others are as fast.
 */
[[nodiscard]] Choice chooseAny(std::span<const Candidate> candidates, Time now);

/// @brief Chooses what to do with a statement that only the leader may serve.
[[nodiscard]] Choice chooseLeader(std::span<const Candidate> candidates, Time now);

}
