#pragma once

#include "amaranthhall/http/client.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

namespace amaranthhall::rig {

/// @brief Sends a request to a port of loopback and waits for the answer.
http::HttpResult callHttp(std::uint16_t port, const http::Request& request, std::chrono::milliseconds timeout = std::chrono::seconds(10));

/// @brief Posts JSON and reads JSON back; throws std::runtime_error unless the answer is 2xx.
nlohmann::json postJson(std::uint16_t port, const std::string& path, const nlohmann::json& body);

}
