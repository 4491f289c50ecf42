#pragma once

#include "amaranthhall/catalog/configuration.hpp"
#include "amaranthhall/catalog/upstream_entry.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/store/version.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::catalog {

/// @brief A registered upstream and the state that the catalog keeps for it.
struct UpstreamRecord {
    UpstreamEntry entry;
    store::Version version; ///< Store version at which the entry last changed.
    store::Version roleVersion; ///< Store version at which the role last changed.
    Time roleSeenAt; ///< When this daemon learned the role.
    std::optional<Time> drainingSince; ///< Earliest time at which the upstream may have announced that it is draining.
    std::optional<Time> missingSince; ///< Start of the grace period of an entry that was removed from the store; the entry is used until its end. May be in the future.
};

/**
 * @brief The current configuration and the registered upstreams.
 *
 * After the store was restored from a copy, it may contain an active entry of an upstream that has left or is draining. Such an entry is not used until it
 * changes again or has existed for so long that the upstream must be alive.
 */
class Catalog {
public:
    /// @brief Time for which a restored entry of an upstream that had left must exist before it is used; the store removes entries that are not renewed sooner.
    static constexpr Duration restoredEntryDelay = std::chrono::seconds(5);

    /// @brief Time for which departed upstreams are remembered; a copy of the store is only a few seconds old.
    static constexpr Duration departureRetention = std::chrono::seconds(60);

    /// @brief Time for which an entry is still used after its removal from a reachable store: entries that expired while the store was unavailable are back within it.
    static constexpr Duration missingGracePeriod = std::chrono::milliseconds(2500);

    /**
     * @brief Makes a configuration the current one if it is newer.
     *
     * A configuration without organisations that replaces one with organisations rejects every key, as an error of the operator must not open all routes.
     *
     * @return False if it is not newer than the current one, which then stays in use.
     */
    bool apply(Configuration configuration);

    /// @brief Returns the current configuration; nullptr before the first one.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const noexcept { return this->current; }

    /**
     * @brief Adds or updates the entry of an upstream.
     * @param version Store version at which the entry changed.
     * @param copyAge How long before `now` the entry may have changed at most.
     */
    void put(UpstreamEntry entry, const store::Version& version, Time now, Duration copyAge = Duration::zero());

    /**
     * @brief Records that an entry was removed from the store.
     * @param version Store version of the removal.
     * @param since Start of the grace period.
     */
    void markMissing(std::string_view id, const store::Version& version, Time since);

    /**
     * @brief Removes entries that have been missing for longer than the grace period.
     * @param storeSince When the store last became reachable; entries are kept while it is not.
     * @return Ids of the removed upstreams.
     */
    std::vector<std::string> expire(Time now, std::optional<Time> storeSince);

    /// @brief Records that the catalog has all entries of the store; only the first call counts.
    void noteComplete(Time now) noexcept { this->completeSince = this->completeSince.value_or(now); }

    /// @brief Returns whether an upstream may be alive that this daemon has never seen registered, as its entry expired while the store was unavailable and is not back yet.
    [[nodiscard]] bool mayLackUpstreams(Time now) const noexcept { return !this->completeSince || now - *this->completeSince < missingGracePeriod; }

    /// @brief Returns whether an upstream is gone: its entry has been missing for the grace period, or was never there.
    [[nodiscard]] bool isGone(std::string_view id, Time now) const noexcept { return !this->find(id) && !this->mayLackUpstreams(now); }

    [[nodiscard]] const UpstreamRecord* find(std::string_view id) const noexcept;

    [[nodiscard]] const std::map<std::string, UpstreamRecord, std::less<>>& upstreams() const noexcept { return this->upstreamsById; }

    /// @brief Returns the upstreams of a service sorted by id; valid until the next change of the catalog.
    [[nodiscard]] std::span<const UpstreamRecord* const> upstreamsOf(std::string_view service) const noexcept;

    /// @brief Returns the names of the services that have limits or upstreams, sorted.
    [[nodiscard]] std::vector<std::string> serviceNames() const;

    /// @brief Returns the number of services that have limits or the number of those that have upstreams, whichever is larger.
    [[nodiscard]] std::size_t services() const noexcept { return std::max(this->byService.size(), this->current ? this->current->services.size() : 0); }

    /// @brief Returns a number that changes when the limits of any service change, or when the deployment gets organisations.
    [[nodiscard]] std::uint64_t limitsVersion() const noexcept { return this->limitsChangeCount; }

private:
    /// An upstream that was removed after its grace period.
    struct Departure {
        std::uint64_t startedAt { 0 };
        store::Era era { 0 };
        Time at;
    };

    /// An entry of a restored store that is not used yet.
    struct RestoredEntry {
        UpstreamEntry entry;
        store::Version version;
        Time since;
    };

    [[nodiscard]] bool isStaleRestoredEntry(const UpstreamEntry& entry, const store::Version& version) const;
    void update(UpstreamEntry entry, const store::Version& version, Time now, Duration copyAge = Duration::zero());
    void acceptOldRestoredEntries(Time now);
    void addToService(const UpstreamRecord& upstream);
    void removeFromService(const UpstreamRecord& upstream);

    std::shared_ptr<const Configuration> current;
    std::map<std::string, UpstreamRecord, std::less<>> upstreamsById;
    std::map<std::string, std::vector<const UpstreamRecord*>, std::less<>> byService; ///< Points into `upstreamsById`, sorted by id.
    std::map<std::string, Departure, std::less<>> departures; ///< By id.
    std::map<std::string, RestoredEntry, std::less<>> restoredEntries; ///< By id.
    std::uint64_t limitsChangeCount { 0 };
    std::optional<Time> completeSince;
};

}
