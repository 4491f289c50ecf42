#pragma once

#include "amaranthhall/http/client.hpp"
#include "amaranthhall/http/server.hpp"
#include "amaranthhall/store/store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::gossip {

/// @brief Rows of one table that daemons hand on to each other while the store does not serve some of them.
class RowExchange {
public:
    using Source = std::function<std::vector<store::Row>(const std::string& table, store::Version after)>;
    using Fetched = std::function<void(const std::optional<std::vector<store::Row>>&)>;

    RowExchange(kernel::Loop& loop, const kernel::Address& listen, Source source);

    /// @brief Asks a peer for the rows of a table that are newer than a version; `fetched` is called once, with nothing if it failed.
    void fetch(const kernel::Address& peer, const std::string& table, store::Version after, Fetched fetched);

private:
    http::Server server;
    http::Client client;
};

/// @brief Encodes rows as CBOR.
[[nodiscard]] std::string encodeRows(const std::vector<store::Row>& rows);

/// @brief Decodes rows; gives none if the bytes are malformed.
[[nodiscard]] std::vector<store::Row> decodeRows(std::string_view bytes);

}
