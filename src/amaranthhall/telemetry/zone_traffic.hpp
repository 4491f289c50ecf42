#pragma once

#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::telemetry {

/// @brief Kinds of traffic between VMs and to upstreams.
enum class TrafficKind : std::uint8_t {
    Relay, ///< Statements to homes and their replies.
    Upstream, ///< Statements to upstreams and their replies.
    Gossip,
    Quota, ///< Messages about the limits of organisations.
    Rows, ///< Rows of the store that a peer passes on.
};

/**
 * @brief Bytes exchanged with each zone and the round-trip time to it.
 *
 * Each byte is counted by one daemon only, so that sums over the fleet are exact: by the one that connected, in both directions, and for datagrams by the
 * sender. Headers of TCP, UDP and IP are not included.
 */
class ZoneTraffic {
public:
    static constexpr std::size_t maximumZones = 64; ///< Bounds the number of metrics; traffic of further zones counts as that of an unknown one.

    /// @brief Bytes of one kind exchanged with one zone.
    struct Bytes {
        std::uint64_t sent { 0 };
        std::uint64_t received { 0 };
        std::uint64_t exchanges { 0 }; ///< Completed requests with their replies, where they are counted.
    };

    /// @brief Returns the bytes of a kind exchanged with a zone; the reference stays valid, so that connections keep it. An empty zone is an unknown one.
    [[nodiscard]] Bytes& bytes(TrafficKind kind, std::string_view zone);

    /// @brief Records the zone of the daemon with an IP number.
    void noteHost(std::string_view host, std::string_view zone);

    /// @brief Returns the bytes of a kind exchanged with the zone of a daemon, by its IP number.
    [[nodiscard]] Bytes& bytesOfHost(TrafficKind kind, std::string_view host);

    /// @brief Records the round-trip time of a connection to a zone.
    void noteRoundTrip(std::string_view zone, Duration roundTrip);

    /// @brief Returns the average round-trip time of connections to a zone; std::nullopt if none was measured.
    [[nodiscard]] std::optional<Duration> roundTrip(std::string_view zone) const;

    /// @brief Returns the average size of a request with its reply of a kind, in bytes; 0 if none was counted.
    [[nodiscard]] double bytesPerExchange(TrafficKind kind) const noexcept;

    /// @brief Adds what was counted since the last call to the metrics.
    void publish(Metrics& metrics, std::string_view ownZone);

private:
    static constexpr std::size_t kinds = 5;
    static constexpr std::size_t maximumHosts = 10'000; ///< Bytes of further daemons count for an unknown zone.

    struct Zone {
        std::array<Bytes, kinds> bytes;
        std::array<Bytes, kinds> published;
        std::optional<Duration> roundTrip;
    };

    [[nodiscard]] Zone& zoneOf(std::string_view name);

    std::map<std::string, std::string, std::less<>> zoneOfHost;
    std::map<std::string, Zone, std::less<>> zones; ///< Entries are never removed, so references to their bytes stay valid.
};

}
