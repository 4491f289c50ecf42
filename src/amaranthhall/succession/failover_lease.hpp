#pragma once

#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/store/store.hpp"
#include "amaranthhall/succession/pending_orders.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::succession {

/// @brief Identifies a daemon process; a restarted daemon of the same VM has another incarnation.
struct DaemonIdentity {
    std::string vm;
    std::uint64_t incarnation { 0 };

    friend bool operator==(const DaemonIdentity&, const DaemonIdentity&) = default;
};

/**
 * @brief Row of the store that names the daemon in charge of the failover of a service.
 *
 * The holder keeps the lease until another daemon replaces the row by a conditional write, which is allowed after
 * `leaseDuration` if the holder does not act. The fencing token of the holder's promotion requests is derived from the
 * row's version.
 */
struct FailoverLease {
    DaemonIdentity holder;
    freshness::Micros takenAt { 0 }; ///< Store time at which the holder acquired the lease.
    store::Era era { 0 }; ///< Era in which the row was written; a restored backup may bring it into a later one.
    group::Term term { 0 }; ///< Newest term of the service known to have started.
    std::vector<PendingOrder> orders; ///< See PendingOrders. An order without a fence is sent under the version of the row in which it stands.
};

/// @brief Returns the row key of the failover lease of a service.
[[nodiscard]] std::string leaseKey(std::string_view service);

/// @brief Encodes a lease as JSON.
[[nodiscard]] std::string encodeLease(const FailoverLease& lease);

/// @brief Decodes the lease in a row; empty if the row is null, or malformed, which is logged. Orders without a fence get the version of the row.
[[nodiscard]] std::optional<FailoverLease> decodeLease(const store::Row* row);

/// @brief Holder of a lease from the point of view of one daemon.
enum class Holder : std::uint8_t {
    None,
    Self,
    Other,
};

/**
 * @brief Returns the holder of a lease according to its row.
 * @return Empty if the row is missing or malformed, or was not written in the current era, as after a restore of the store from a backup.
 */
[[nodiscard]] std::optional<Holder> holderOf(const store::Row* row, const DaemonIdentity& self, store::Era era);

/**
 * @brief Returns the version of the row that names `self`, from which the fencing token is derived.
 * @return Empty if `self` does not hold the lease in this era.
 */
[[nodiscard]] std::optional<store::Version> heldVersion(const store::Row* row, const DaemonIdentity& self, store::Era era);

/**
 * @brief Returns true if the known row is null or its version belongs to the era, so that it is valid as the condition of a write.
 *
 * After a restore from a backup, the store reuses version numbers, so a version of another era may match a different row.
 */
[[nodiscard]] bool isVersionOfEra(const store::Row* row, store::Era era) noexcept;

/// @brief The latest restore of the store from a backup, as observed by a daemon.
struct EraChange {
    std::optional<Time> observedAt; ///< When the daemon learned of the current era; empty in the first one.
    Time startedAt; ///< Start of the daemon.
};

/// @brief Time after the acquisition of a lease, or after a restore of the store, during which other daemons must not take it over.
inline constexpr Duration leaseDuration = std::chrono::milliseconds(3200);

/**
 * @brief Returns true if another daemon may have held the lease when the store was restored, and may not have rewritten its row yet.
 * @param previousHolder Last holder that this daemon observed.
 */
[[nodiscard]] bool mayBeHeldAfterRestore(const EraChange& change, Holder previousHolder, Time now) noexcept;

}
