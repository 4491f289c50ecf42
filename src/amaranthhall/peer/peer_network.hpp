#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhall::peer {

/// @brief Parameters or result of a call between daemons.
using Json = nlohmann::json;

/// @brief Reason for the failure of a call to a peer.
enum class PeerErrorCode : std::uint8_t {
    Unreachable, ///< The call was not sent because the connection failed or too many calls were in flight; it did not run.
    Timeout, ///< No response before the deadline, or the connection was lost; the call may have run.
    Refused, ///< The peer rejected the authentication, or a message exceeded the size limit.
    UnknownMethod,
    Failed, ///< The handler reported an error, described by the message.
    Malformed, ///< The response could not be verified or decoded.
};

/// @brief Error of a call between daemons.
struct PeerError {
    PeerErrorCode code { PeerErrorCode::Failed };
    std::string message;
};

/// @brief Result or error of a call between daemons.
using PeerResult = tl::expected<Json, PeerError>;

/// @brief JSON-RPC 2.0 between daemons; every message is signed with a shared key. Registered as service `peers`.
class PeerNetwork {
public:
    using Reply = std::function<void(PeerResult)>;
    using Handler = std::function<void(const Json& parameters, Reply reply)>;

    virtual ~PeerNetwork() = default;

    /**
     * @brief Registers the handler of a method that other daemons may call.
     * @param method Name such as `table.stage`.
     * @param handler Invoked for each call; must reply exactly once, synchronously or later.
     */
    virtual void serve(std::string method, Handler handler) = 0;

    /**
     * @brief Calls a method of another daemon.
     * @param to Address of the peer.
     * @param timeout The call fails with PeerErrorCode::Timeout if there is no response within this time.
     * @param reply Invoked once, never from within call().
     */
    virtual void call(const kernel::Address& to, std::string_view method, Json parameters, Duration timeout, Reply reply) = 0;

    /// @brief Returns the address on which calls are received; a port chosen by the system is known once the service has started.
    [[nodiscard]] virtual kernel::Address listenAddress() const = 0;

    /// @brief Accepts calls addressed to an additional address of this daemon, such as the one in the list of VMs.
    virtual void addOwnAddress(const kernel::Address& address) { static_cast<void>(address); }
};

}
