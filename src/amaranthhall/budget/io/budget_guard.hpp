#pragma once

#include "amaranthhall/budget/account.hpp"
#include "amaranthhall/budget/shares.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace amaranthhall::budget {

/// @brief Limits from the settings; what is absent is read from the system.
struct ConfiguredLimits {
    std::optional<std::uint64_t> memory; ///< In bytes.
    std::optional<std::size_t> descriptors;
};

/// @brief Returns the limits of this process: the configured ones, the machine's memory, and the limit of open descriptors.
[[nodiscard]] VmLimits readLimits(const ConfiguredLimits& configured);

/// @brief The account of a process, which closes connections as it fills.
class BudgetGuard {
public:
    BudgetGuard(kernel::Loop& loop, const VmLimits& limits, telemetry::Metrics& metrics);

    [[nodiscard]] Account& account() noexcept { return this->connections; }
    [[nodiscard]] const Shares& shares() const noexcept { return this->divided; }

    /**
     * @brief Records that something was refused for lack of room.
     * @param what Name of the port of a connection that was refused or replaced, or `session_state`.
     */
    void noteRefused(std::string_view what, std::string_view reason);

    void updateGauges();

private:
    void review();
    void noteClosed(Reason reason, std::uint64_t bytes);
    void logAction(std::string_view action, std::string_view reason);

    kernel::Loop& loop;
    telemetry::Metrics& metrics;
    Shares divided;
    Account connections;
    prometheus::Gauge& usedBytes;
    prometheus::Gauge& holderCount;
    prometheus::Gauge& waitingCount;
    kernel::Registration timer;
    Time lastLogged;
    std::uint64_t actionsSinceLog { 0 };
    bool isReviewPosted { false };
};

}
