#pragma once

#include "amaranthhall/share/message.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace amaranthhall::share {

/// @brief Gives the name under which a request is called, such as `shares.take`.
[[nodiscard]] std::string_view nameMethod(const Request& request) noexcept;

/// @brief Lists the names of all requests.
[[nodiscard]] std::vector<std::string_view> listMethods();

[[nodiscard]] nlohmann::json encodeRequest(const Request& request);

/// @brief Reads a request of a method; gives nothing if it is malformed.
[[nodiscard]] std::optional<Request> decodeRequest(std::string_view method, const nlohmann::json& value);

[[nodiscard]] nlohmann::json encodeResponse(const Response& response);

/// @brief Reads the response to a method; gives nothing if it is malformed.
[[nodiscard]] std::optional<Response> decodeResponse(std::string_view method, const nlohmann::json& value);

/// @brief Writes the row of the table service.
[[nodiscard]] nlohmann::json encodeRecord(const EpochRecord& record);

/// @brief Reads the row of the table service; gives nothing if it is malformed.
[[nodiscard]] std::optional<EpochRecord> decodeRecord(const nlohmann::json& value);

}
