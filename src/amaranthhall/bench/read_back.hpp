#pragma once

#include "amaranthhall/bench/harm.hpp"
#include "amaranthhall/bench/result.hpp"
#include "amaranthhall/rig/cluster.hpp"

#include <optional>
#include <vector>

namespace amaranthhall::bench {

/// @brief Reads all rows from the primaries themselves, past the daemons; throws std::runtime_error if one cannot be read.
[[nodiscard]] std::vector<StoredRow> readRows(rig::Cluster& cluster);

/// @brief Asks each upstream that still runs for the most connections that the daemons held to it at once.
[[nodiscard]] std::vector<ConnectionUse> readConnections(rig::Cluster& cluster);

/// @brief Gives the share of reads that replicas served, from the daemons' metrics; nothing if there were no reads.
[[nodiscard]] std::optional<double> readReplicaShare(rig::Cluster& cluster);

}
