#pragma once

#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/store/store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::succession {

/// @brief A daemon's process; a restart under the same name is another one.
struct DaemonIdentity {
    std::string vm;
    std::uint64_t incarnation { 0 };

    friend bool operator==(const DaemonIdentity&, const DaemonIdentity&) = default;
};

/// @brief What the row of a duty says: who may order promotions of a service, and what is known of its terms.
struct FailoverLease {
    DaemonIdentity holder;
    freshness::Micros takenAt { 0 }; ///< Store time.
    store::Era era { 0 }; ///< In which it was written; a copy of the store may bring it into a later one.
    group::Term term { 0 }; ///< Newest term of the service that is known to have begun.
};

/// @brief Gives the key of the row of a service's duty.
[[nodiscard]] std::string leaseKey(std::string_view service);

/// @brief Encodes what a row says as JSON.
[[nodiscard]] std::string encodeLease(const FailoverLease& lease);

/// @brief Decodes a row; gives nothing if there is none, or if it is malformed, which is logged.
[[nodiscard]] std::optional<FailoverLease> decodeLease(const store::Row* row);

/// @brief Who holds a duty, from one daemon's point of view.
enum class Holder : std::uint8_t {
    None,
    Self,
    Other,
};

/**
 * @brief Tells who holds a duty by its row.
 * @return Nothing if the row does not tell: it is of another era than the present one, or a copy of the store brought it into this one.
 */
[[nodiscard]] std::optional<Holder> holderOf(const store::Row* row, const DaemonIdentity& self, store::Era era);

/// @brief Gives the version under which a daemon holds a duty, from which its fence follows; nothing if it does not hold it in this era.
[[nodiscard]] std::optional<store::Version> heldVersion(const store::Row* row, const DaemonIdentity& self, store::Era era);

/// @brief Tells whether a row may be written under the condition that it is as known; its number may have been given out again to another state.
[[nodiscard]] bool isVersionOfEra(const store::Row* row, store::Era era) noexcept;

/// @brief What a daemon knows of the store's last return from a copy.
struct EraChange {
    std::optional<Time> observedAt; ///< When it learned of the present era; nothing in the first one.
    Time startedAt; ///< Of the daemon.
};

/// @brief For how long after its taking, or after a return of the store from a copy, a duty is left to its holder.
inline constexpr Duration leaseDuration = std::chrono::milliseconds(3200);

/**
 * @brief Tells whether another daemon may have held a duty when the store came back from a copy, and not have written its row again yet.
 * @param before Who held it before, as far as this daemon saw.
 */
[[nodiscard]] bool mayBeHeldAfterRestore(const EraChange& change, Holder before, Time now) noexcept;

}
