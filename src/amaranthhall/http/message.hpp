#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::http {

/// @brief An HTTP header; names of received headers are in lower case.
struct Header {
    std::string name;
    std::string value;
};

/// @brief Finds the value of a header by its lower-case name; returns an empty view if it is missing.
[[nodiscard]] inline std::string_view findHeader(const std::vector<Header>& headers, std::string_view name) noexcept
{
    for (const auto& header : headers) {
        if (header.name == name)
            return header.value;
    }
    return {};
}

/// @brief An HTTP request; the path does not include the query string.
struct Request {
    std::string method { "GET" };
    std::string path { "/" };
    std::string query; ///< Encoded query string without `?`; see findQueryParameter().
    std::vector<Header> headers;
    std::string body;
};

/// @brief An HTTP response.
struct Response {
    int status { 200 };
    std::vector<Header> headers;
    std::string body;
};

/// @brief Finds a parameter in a query string and decodes its value; returns an empty string if it is missing.
[[nodiscard]] std::string findQueryParameter(std::string_view query, std::string_view name);

/// @brief Percent-encodes a value for a query string.
[[nodiscard]] std::string encodeQueryValue(std::string_view value);

}
