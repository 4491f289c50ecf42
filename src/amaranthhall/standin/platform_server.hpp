#pragma once

#include "amaranthhall/http/server.hpp"
#include "amaranthhall/standin/platform_store.hpp"

namespace amaranthhall::standin {

/// @brief How a stand-in platform is started.
struct PlatformOptions {
    kernel::Address listen;
    PlatformLimits limits;
};

/// @brief Faults that tests bring about.
struct PlatformFaults {
    bool down { false }; ///< Every request is answered 503 without effect.
    bool storeDown { false }; ///< As `down`, but the list of VMs still answers.
    std::chrono::milliseconds slow { 0 }; ///< Every answer comes this much later.
    std::uint32_t loseAnswers { 0 }; ///< The answers to the next writes are not sent; the writes take effect.
    std::chrono::milliseconds vmLag { 0 }; ///< The list of VMs is this old.
};

/// @brief An emulated platform: table service, object store and list of VMs over HTTP.
class PlatformServer {
public:
    PlatformServer(kernel::Loop& loop, const PlatformOptions& options);

    /// @brief Gives the port on which it listens.
    [[nodiscard]] std::uint16_t port() const noexcept { return this->server.port(); }

private:
    using Work = std::function<http::Response(const http::Request&)>;

    void routeRead(std::string path, Work work);
    void routeWrite(std::string path, Work work);
    void routeAdmin();
    void serveObject(const http::Request& request, const http::Reply& reply);
    void answer(http::Response response, const http::Reply& reply);
    void answerWrite(http::Response response, const http::Reply& reply);
    [[nodiscard]] bool isStoreDown() const noexcept { return this->faults.down || this->faults.storeDown; }
    void setFaults(const nlohmann::json& wanted);

    kernel::Loop& loop;
    PlatformStore store;
    PlatformFaults faults;
    http::Server server;
};

}
