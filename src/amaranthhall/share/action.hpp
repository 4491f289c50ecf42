#pragma once

#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/share/message.hpp"

#include <string>
#include <variant>
#include <vector>

namespace amaranthhall::share {

/// @brief Sends a request to a peer. The response or the failure is reported with the same id.
struct SendRequest {
    std::uint64_t id { 0 };
    kernel::Address to;
    Request request;
    Duration timeout {};
};

/// @brief Replies to a request from a peer.
struct SendReply {
    std::uint64_t ticket { 0 };
    Response response;
};

/// @brief Reads the epoch record from the platform's store.
struct ReadRecord { };

/// @brief Writes the epoch record, provided that the row still has the expected version.
struct WriteRecord {
    EpochRecord record;
    std::uint64_t expectedVersion { 0 };
};

/// @brief Queries the platform for its list of VMs.
struct ListVms { };

/// @brief Makes an upstream terminate all connections of a VM.
struct ReleaseConnections {
    std::string vm;
    group::UpstreamId upstream;
};

using Action = std::variant<SendRequest, SendReply, ReadRecord, WriteRecord, ListVms, ReleaseConnections>;
using Actions = std::vector<Action>;

}
