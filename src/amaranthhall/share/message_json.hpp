#pragma once

#include "amaranthhall/share/message.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace amaranthhall::share {

/// @brief Returns the RPC method name of a request, such as `shares.take`.
[[nodiscard]] std::string_view nameMethod(const Request& request) noexcept;

/// @brief Returns the method names of all requests.
[[nodiscard]] std::vector<std::string_view> listMethods();

[[nodiscard]] nlohmann::json encodeRequest(const Request& request);

/// @brief Decodes the request of a method. Returns an empty value if it is malformed.
[[nodiscard]] std::optional<Request> decodeRequest(std::string_view method, const nlohmann::json& value);

[[nodiscard]] nlohmann::json encodeResponse(const Response& response);

/// @brief Decodes the response of a method. Returns an empty value if it is malformed.
[[nodiscard]] std::optional<Response> decodeResponse(std::string_view method, const nlohmann::json& value);

/// @brief Encodes the epoch record for the platform's store.
[[nodiscard]] nlohmann::json encodeRecord(const EpochRecord& record);

/// @brief Decodes the epoch record from the platform's store. Returns an empty value if it is malformed.
[[nodiscard]] std::optional<EpochRecord> decodeRecord(const nlohmann::json& value);

}
