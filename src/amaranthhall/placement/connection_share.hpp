#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace amaranthhall::placement {

/// @brief Time after its start for which a daemon leaves room for the connections of lost daemons, which upstreams hold for 3 s.
inline constexpr Duration restartReserveTime = std::chrono::milliseconds(3500);

/// @brief Number of connections that one daemon may hold to one upstream.
struct ConnectionShare {
    std::uint32_t warm { 0 }; ///< Kept open in advance.
    std::uint32_t limit { 0 }; ///< Maximum number of open connections.
};

/**
 * @brief Divides the connections that an upstream allows among the daemons that connect to it.
 *
 * The shares leave room for a restart of all VMs at once: an upstream holds the connections of lost VMs for seconds, and the
 * restarted daemons need theirs in addition. The sum of all limits and all warm connections therefore stays within what the upstream
 * allows, provided that it allows at least two connections per sharer.
 *
 * @param connections Connections that the upstream allows.
 * @param sharers Daemons that hold connections; 0 if this daemon is not one of them and connects only while it reaches none of them.
 */
[[nodiscard]] ConnectionShare shareConnections(std::uint32_t connections, std::size_t sharers) noexcept;

/**
 * @brief Returns the share of a daemon that has just started, if every daemon uses its whole share.
 *
 * Where links belong to organisations, the pools are always full, so after a loss of all power an upstream holds a whole share of dead connections for each
 * sharer. The restarted daemons then use only what these leave.
 *
 * @param share Share of a daemon that has run for longer than restartReserveTime.
 */
[[nodiscard]] ConnectionShare limitAfterStart(const ConnectionShare& share, std::uint32_t connections, std::size_t sharers) noexcept;

/// @brief Returns whether a daemon has fewer connections to an upstream than statements it could run there.
[[nodiscard]] constexpr bool isScarce(const ConnectionShare& share, std::uint32_t slots) noexcept
{
    return share.limit < slots;
}

/**
 * @brief Returns how many connections to an upstream transactions may hold where connections are scarce.
 *
 * The others stay for statements outside transactions, which would otherwise wait until a session that is idle in its transaction is aborted.
 */
[[nodiscard]] std::uint32_t transactionLimit(const ConnectionShare& share) noexcept;

/// @brief What decides whether another connection to an upstream is opened now.
struct OpeningInputs {
    std::uint32_t slots { 1 };
    std::uint32_t running { 0 }; ///< Statements of this daemon on the upstream.
    std::uint32_t openings { 0 }; ///< Connections that this daemon is opening.
    double runningOfOthers { 0 };
};

/**
 * @brief Returns whether the upstream can open another connection beside the statements that it serves; each opening occupies a slot.
 *
 * One at a time is opened on a full upstream, so that a daemon that has just started gets connections.
 */
[[nodiscard]] bool mayOpenAnother(const OpeningInputs& inputs) noexcept;

/// @brief Statements of an organisation that wait, and connections that are being opened for it.
struct OpeningDemand {
    std::size_t waiting { 0 };
    std::size_t openings { 0 };

    [[nodiscard]] std::size_t uncovered() const noexcept { return this->waiting > this->openings ? this->waiting - this->openings : 0; }
};

/// @brief Returns whether the next connection is for an organisation: it has statements for which none is being opened, and no other has more of them.
[[nodiscard]] bool isNextToOpen(const OpeningDemand& own, std::span<const OpeningDemand> others) noexcept;

}
