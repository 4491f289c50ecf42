#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::http {

/// @brief One header, its name in lower case on the receiving side.
struct Header {
    std::string name;
    std::string value;
};

/// @brief Finds a header by its lower-case name; gives an empty view if it is missing.
[[nodiscard]] inline std::string_view findHeader(const std::vector<Header>& headers, std::string_view name) noexcept
{
    for (const auto& header : headers) {
        if (header.name == name)
            return header.value;
    }
    return {};
}

/// @brief A request; the path is without the query.
struct Request {
    std::string method { "GET" };
    std::string path { "/" };
    std::string query; ///< As sent, without `?`; read by findQueryParameter().
    std::vector<Header> headers;
    std::string body;
};

/// @brief A response.
struct Response {
    int status { 200 };
    std::vector<Header> headers;
    std::string body;
};

/// @brief Finds a value of a query and decodes it; gives an empty text if it is missing.
[[nodiscard]] std::string findQueryParameter(std::string_view query, std::string_view name);

/// @brief Encodes a text for use as a query's value.
[[nodiscard]] std::string encodeQueryValue(std::string_view value);

}
