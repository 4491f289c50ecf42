#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/quota/owner.hpp"
#include "amaranthhall/quota/ownership.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amaranthhall::quota {

/// @brief Asks an owner for tokens.
struct GrantRequestMessage {
    GrantRequest request; ///< Its holder is set from the sender and the instance as the message is decoded.
    std::uint64_t instance { 0 }; ///< Random number of the asking process.
    catalog::OperationLimit limit; ///< By the holder's configuration.
    std::uint64_t configurationVersion { 0 }; ///< Of the holder; the newer of the two configurations decides on the limit.
    std::uint32_t daemons { 0 }; ///< Size of the fleet as the holder knows it; 0 from a daemon of a build that does not tell.
    std::vector<std::string> unreachable; ///< Daemons that rank before the receiver and did not reply to the holder.
};

/// @brief Replies to a GrantRequestMessage.
struct GrantMessage {
    Grant grant;
    std::string redirectVm; ///< If not empty, the daemon to ask instead; there is no grant then.
    kernel::Address redirectAddress;
};

/// @brief Asks a possible predecessor for the bucket.
struct ReleaseRequestMessage { };

/// @brief Replies to a ReleaseRequestMessage, or hands a bucket over unasked as the sender stops.
struct ReleaseMessage {
    Release release;
};

/// @brief Asks a voter for its lease. A daemon of a build without leases takes it for a ReleaseRequestMessage, and its reply counts as a granted lease.
struct LeaseRequestMessage {
    LeaseRequest request;
};

/// @brief Replies to a LeaseRequestMessage.
struct LeaseMessage {
    LeaseReply reply;
};

/// @brief What a message says.
using Content = std::variant<GrantRequestMessage, GrantMessage, ReleaseRequestMessage, ReleaseMessage, LeaseRequestMessage, LeaseMessage>;

/// @brief A datagram about the bucket of one organisation.
struct Message {
    std::string sender; ///< VM.
    kernel::Address replyTo;
    std::string organisation;
    Content content;
};

/// @brief Returns the name of a process that holds tokens.
[[nodiscard]] std::string holderName(std::string_view vm, std::uint64_t instance);

/// @brief Encodes a message as MessagePack.
[[nodiscard]] std::string encodeMessage(const Message& message);

/// @brief Decodes a message; returns std::nullopt if it is malformed.
[[nodiscard]] std::optional<Message> decodeMessage(std::string_view bytes);

}
