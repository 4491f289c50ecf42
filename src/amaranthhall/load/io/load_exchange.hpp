#pragma once

#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/load/load_report.hpp"
#include "amaranthhall/relay/home_router.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthhall::load {

/**
 * @brief Reports this daemon's load of busy upstreams, and the positions of lagging replicas, to the other homes of their services.
 *
 * Nothing is sent while no upstream is busy. Daemons of builds that know no reports get none.
 */
class LoadExchange {
public:
    struct Options {
        std::string vm;
        std::string zone;
        std::function<void(const kernel::Address& to, std::string_view bytes)> send; ///< Sends a datagram to the address on which a daemon receives digests.
    };

    /// @brief What the exchange reads and updates.
    struct Parts {
        kernel::Loop& loop;
        engine::Dispatcher& dispatcher;
        const gossip::PeerRegistry& peers;
        relay::HomeRouter& homes;
    };

    LoadExchange(Parts parts, Options options, telemetry::Metrics& metrics);

    /// @brief Handles a datagram; returns false if it is no report.
    bool receive(std::string_view bytes);

private:
    /// State of the reports about one upstream of this daemon.
    struct Reported {
        ReportPolicy policy;
        Time loggedAt;
    };
    using EntriesByPeer = std::map<std::string, std::vector<ReportEntry>, std::less<>>;

    void sendRound();
    void collect(const std::string& service, bool isFarRound, EntriesByPeer& entries);
    void logIfContended(const engine::Dispatcher::LocalLoad& local, Reported& state) const;
    void updateMetrics();
    [[nodiscard]] const std::string* findPeer(std::uint32_t shortId);
    void apply(const std::string& vm, const ReportEntry& entry, Time at);

    Parts parts;
    Options options;
    prometheus::Counter& sentReports;
    prometheus::Counter& sentBytes;
    prometheus::Counter& receivedReports;
    prometheus::Counter& outdatedReports;
    prometheus::Counter& lagRefusals;
    prometheus::Counter& replicaProbes;
    prometheus::Counter& overloadRefusals;
    unsigned round { 0 };
    std::map<std::string, Reported, std::less<>> reported; ///< By upstream.
    std::unordered_map<std::uint32_t, std::string> upstreamsByKey; ///< Upstreams of the local services; rebuilt in each round.
    std::unordered_map<std::uint32_t, std::string> peersById;
    std::uint64_t peersVersion { 0 }; ///< Membership version for which `peersById` holds.
    std::unordered_map<std::uint32_t, DelayEstimator> delays; ///< By sender.
    kernel::Registration timer;
};

}
