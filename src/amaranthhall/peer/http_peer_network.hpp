#pragma once

#include "amaranthhall/http/client.hpp"
#include "amaranthhall/http/server.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/peer/jsonrpc_envelope.hpp"
#include "amaranthhall/peer/message_authentication.hpp"
#include "amaranthhall/peer/peer_network.hpp"
#include "amaranthhall/peer/replay_window.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthhall::peer {

/// @brief Options of HttpPeerNetwork.
struct PeerOptions {
    std::string vm; ///< Id of this VM.
    kernel::Address listen; ///< Port 0 selects a free port.
    std::vector<std::string> keys; ///< The first key signs; a signature of any key is accepted.
    std::size_t maximumMessageSize { 1U << 20U }; ///< Limit in bytes for the body of a call or a response.
    std::size_t maximumCallsInFlight { 512 }; ///< Further calls fail with PeerErrorCode::Unreachable without being sent.
};

/// @brief Sends and serves JSON-RPC calls between daemons over HTTP with keep-alive connections.
class HttpPeerNetwork final : public kernel::Service, public PeerNetwork {
public:
    HttpPeerNetwork(kernel::Loop& loop, kernel::Registry& registry, PeerOptions options);

    [[nodiscard]] std::string_view name() const noexcept override { return "peers"; }
    void start() override;
    void stop() override;
    void serve(std::string method, Handler handler) override;
    void call(const kernel::Address& to, std::string_view method, Json parameters, Duration timeout, Reply reply) override;
    [[nodiscard]] kernel::Address listenAddress() const override;
    void addOwnAddress(const kernel::Address& address) override;

private:
    void receive(const http::Request& request, const http::Reply& respond);
    [[nodiscard]] bool isAuthentic(const http::Request& request, const MessageAuthentication& authentication);
    void reject(std::string_view reason, const http::Reply& respond, int status);
    void sendResponse(const MessageAuthentication& authentication, std::string body, const http::Reply& respond);
    [[nodiscard]] PeerResult readResponse(const http::Response& response, std::string_view nonce) const;
    void countBytes(std::string_view direction, std::size_t bytes);

    kernel::Loop& loop;
    kernel::Registry& registry;
    PeerOptions options;
    telemetry::Metrics* metrics { nullptr };
    ReplayWindow replayWindow;
    EnvelopeCodec envelope;
    std::unordered_map<std::string, Handler> handlers;
    std::set<std::string> ownAddresses;
    std::unique_ptr<http::Server> server;
    std::unique_ptr<http::Client> client;
    std::size_t inFlight { 0 };
};

}
