#include "amaranthhall/rig/http_call.hpp"

#include <optional>
#include <stdexcept>

namespace amaranthhall::rig {

http::HttpResult callHttp(std::uint16_t port, const http::Request& request, std::chrono::milliseconds timeout)
{
    kernel::Loop loop;
    http::Client client(loop);
    std::optional<http::HttpResult> result;
    client.send({ .host = "127.0.0.1", .port = port }, request, timeout, [&](auto outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    loop.run();
    return *std::move(result);
}

nlohmann::json postJson(std::uint16_t port, const std::string& path, const nlohmann::json& body)
{
    const auto answer = callHttp(port, { .method = "POST", .path = path, .body = body.dump() });
    if (!answer || answer->status / 100 != 2)
        throw std::runtime_error("POST " + path + " failed: " + (answer ? std::to_string(answer->status) + " " + answer->body : "no answer"));
    return nlohmann::json::parse(answer->body, nullptr, false);
}

}
