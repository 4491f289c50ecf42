#pragma once

#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/share/message.hpp"

#include <string>
#include <variant>
#include <vector>

namespace amaranthhall::share {

/// @brief Sends a request to a peer; its answer, or its failure, comes back under the same id.
struct SendRequest {
    std::uint64_t id { 0 };
    kernel::Address to;
    Request request;
    Duration timeout {};
};

/// @brief Answers a request that a peer has sent.
struct SendReply {
    std::uint64_t ticket { 0 };
    Response response;
};

/// @brief Reads the epoch record from the table service.
struct ReadRecord { };

/// @brief Writes the epoch record if the row is still at a version.
struct WriteRecord {
    EpochRecord record;
    std::uint64_t expectedVersion { 0 };
};

/// @brief Reads the platform's list of VMs.
struct ListVms { };

/// @brief Has an upstream terminate all connections of a VM.
struct ReleaseConnections {
    std::string vm;
    group::UpstreamId upstream;
};

using Action = std::variant<SendRequest, SendReply, ReadRecord, WriteRecord, ListVms, ReleaseConnections>;
using Actions = std::vector<Action>;

}
