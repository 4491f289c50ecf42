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

/// @brief An upstream as the catalog knows it.
struct UpstreamRecord {
    UpstreamEntry entry;
    store::Version version; ///< Version of the store at which the entry last changed.
    store::Version roleVersion; ///< Version of the store at which the role last changed.
    Time roleSeenAt; ///< When this daemon learned the role.
    std::optional<Time> drainingSince; ///< When this daemon learned that it leaves.
    std::optional<Time> missingSince; ///< Set while the entry is gone from the store, yet still used.
};

/**
 * @brief The configuration in force and the registered upstreams.
 *
 * When the store comes back from a copy, an upstream that has left or is leaving may stand there as if it were not. It is not used again until its entry
 * changes once more, or has stood for so long that the upstream must be alive.
 */
class Catalog {
public:
    /// @brief How long an entry of a copy must stand before an upstream that had left is used again; the store drops silent ones sooner.
    static constexpr Duration restoredEntryDelay = std::chrono::seconds(5);

    /// @brief How long it is remembered that an upstream has left; a copy is some seconds old.
    static constexpr Duration departureRetention = std::chrono::seconds(60);

    /// @brief How long an entry that is gone from a reachable store is still used.
    static constexpr Duration missingGracePeriod = std::chrono::milliseconds(2500);

    /**
     * @brief Puts a configuration in force.
     * @return False if it is not newer than the one in force, which then stays.
     */
    bool apply(Configuration configuration);

    /// @brief Gives the configuration in force; nullptr before the first one.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const noexcept { return this->current; }

    /**
     * @brief Takes in what an upstream registered.
     * @param version Version of the store at which the entry changed.
     */
    void put(UpstreamEntry entry, const store::Version& version, Time now);

    /// @brief Takes in that an entry is gone from the store.
    void markMissing(std::string_view id, const store::Version& version, Time since);

    /**
     * @brief Drops entries that have been gone for longer than the grace.
     * @param storeSince When the store last became reachable; entries are kept while it is not.
     * @return Ids of the dropped entries.
     */
    std::vector<std::string> expire(Time now, std::optional<Time> storeSince);

    [[nodiscard]] const UpstreamRecord* find(std::string_view id) const noexcept;

    [[nodiscard]] const std::map<std::string, UpstreamRecord, std::less<>>& upstreams() const noexcept { return this->upstreamsById; }

    /// @brief Gives the upstreams of a service, in order of their ids; valid until the next change of the catalog.
    [[nodiscard]] std::span<const UpstreamRecord* const> upstreamsOf(std::string_view service) const noexcept;

    /// @brief Names the services that have limits or upstreams, in order.
    [[nodiscard]] std::vector<std::string> serviceNames() const;

    /// @brief Counts the services that have limits, or those that have upstreams, if these are more.
    [[nodiscard]] std::size_t services() const noexcept { return std::max(this->byService.size(), this->current ? this->current->services.size() : 0); }

    /// @brief Gives a number that changes with the limits of services.
    [[nodiscard]] std::uint64_t limitsVersion() const noexcept { return this->limitsChangeCount; }

private:
    /// An upstream that was dropped.
    struct Departure {
        std::uint64_t startedAt { 0 };
        store::Era era { 0 };
        Time at;
    };

    /// An entry that the store's copy brought back.
    struct RestoredEntry {
        UpstreamEntry entry;
        store::Version version;
        Time since;
    };

    [[nodiscard]] bool isStaleRestoredEntry(const UpstreamEntry& entry, const store::Version& version) const;
    void update(UpstreamEntry entry, const store::Version& version, Time now);
    void acceptOldRestoredEntries(Time now);
    void addToService(const UpstreamRecord& upstream);
    void removeFromService(const UpstreamRecord& upstream);

    std::shared_ptr<const Configuration> current;
    std::map<std::string, UpstreamRecord, std::less<>> upstreamsById;
    std::map<std::string, std::vector<const UpstreamRecord*>, std::less<>> byService; ///< Into `known`.
    std::map<std::string, Departure, std::less<>> departures; ///< By id.
    std::map<std::string, RestoredEntry, std::less<>> restoredEntries; ///< By id.
    std::uint64_t limitsChangeCount { 0 };
};

}
