#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/store/store.hpp"
#include "amaranthhall/store/table_watch.hpp"
#include "amaranthhall/succession/failover_lease.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace amaranthhall::succession {

/// @brief Why the row of a lease was not written.
struct LeaseWriteFailure {
    bool isConflict { false }; ///< Another daemon has written the row since it was last read here.
    std::string_view reason; ///< For logs; refers to a constant.
};

/**
 * @brief Reads the rows of failover leases, and writes those of this daemon on condition that they are unchanged.
 *
 * After a restore of the store from a backup, a row may be outdated or missing. A lease is valid only in the era in which its row was written: its holder writes
 * the row again, and other daemons do not acquire a lease that they saw held by another one until `leaseDuration` after the restore.
 */
class LeaseKeeper {
public:
    using Written = std::function<void(const tl::expected<store::Version, LeaseWriteFailure>&)>;

    /// @brief Components used by the keeper.
    struct Parts {
        kernel::Loop& loop;
        store::Store& store;
        store::TableWatch& fleet; ///< Table that contains the rows.
    };

    /// @brief Identity of this daemon, and where the rows are.
    struct Options {
        DaemonIdentity self;
        std::string table; ///< Name of the table that contains the rows.
    };

    LeaseKeeper(Parts parts, Options options);

    /// @brief Detects a restore of the store from a backup, which starts a new era.
    void updateEra();

    /// @brief Updates the holder of a lease as observed by this daemon, unless its row does not name one in the current era.
    void observe(const std::string& service);

    [[nodiscard]] store::Era era() const noexcept { return this->currentEra; }

    /// @brief Returns the lease in a row, of whichever era; empty if there is none or it is malformed.
    [[nodiscard]] std::optional<FailoverLease> find(const std::string& service) const;

    /// @brief Returns the version of the row if this daemon holds the lease.
    [[nodiscard]] std::optional<store::Version> heldVersion(const std::string& service) const;

    /// @brief Returns whether this daemon held the lease when the store was restored, and has not written its row since.
    [[nodiscard]] bool isLostByRestore(const std::string& service) const;

    /// @brief Returns whether another daemon acquired or renewed the lease so recently that it may still be acting under it.
    [[nodiscard]] bool isFreshOfOther(const std::string& service) const;

    /// @brief Returns whether the lease was acquired or renewed so recently that no other daemon takes it over soon; true if the time is unknown.
    [[nodiscard]] bool needsNoRenewal(const FailoverLease& lease) const;

    /// @brief Returns the pending orders in a row; none, of the lowest version, if there is no such row or it is malformed.
    [[nodiscard]] PendingOrders pendingOrders(const std::string& service) const;

    /// @brief Returns the version of a row; the lowest version if it does not exist.
    [[nodiscard]] store::Version rowVersion(const std::string& service) const;

    /// @brief Returns a lease of this daemon that is acquired now.
    [[nodiscard]] FailoverLease makeLease(group::Term term, std::vector<PendingOrder> orders) const;

    /// @brief Writes a row on condition that it has the expected version; `done` receives the new version, from which the fencing token is derived.
    void write(const std::string& service, const FailoverLease& lease, const store::Version& expected, Written done);

    /// @brief Acquires a lease, on condition that its row is unchanged since it was last read; returns false if no valid version of it is known.
    bool acquire(const std::string& service, const FailoverLease& lease, Written done);

private:
    [[nodiscard]] const store::Row* row(const std::string& service) const;

    Parts parts;
    Options options;
    std::map<std::string, Holder> observedHolders; ///< By service; retained from the previous era until the current row names one.
    store::Era currentEra { 0 };
    EraChange eraChange;
};

}
