#pragma once

#include "amaranthhall/http/client.hpp"
#include "amaranthhall/http/server.hpp"
#include "amaranthhall/store/store.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::gossip {

/// @brief Rows of one table that daemons hand on to each other while the store does not serve some of them.
class RowExchange {
public:
    using Source = std::function<std::vector<store::Row>(const std::string& table, store::Version after)>;
    using FetchCallback = std::function<void(const std::optional<std::vector<store::Row>>&)>;

    RowExchange(kernel::Loop& loop, const kernel::Address& listen, Source usedSource);

    /// @brief Asks a peer for the rows of a table that are newer than a version; `fetched` is called once, with nothing if it failed.
    void fetch(const kernel::Address& peer, const std::string& table, store::Version after, FetchCallback onFetched);

    /// @brief Gives the port on which peers are answered.
    [[nodiscard]] std::uint16_t port() const noexcept { return this->server.port(); }

private:
    /// @brief The last answer about a table; after a change many peers ask for the same rows.
    struct CachedAnswer {
        store::Version after;
        store::Version newest;
        std::string body;
    };

    [[nodiscard]] const std::string& encodedRows(const std::string& table, store::Version after);

    Source source;
    std::map<std::string, CachedAnswer> cachedAnswers; ///< By table.
    http::Server server;
    http::Client client;
};

/// @brief Encodes rows as compressed MessagePack.
[[nodiscard]] std::string encodeRows(const std::vector<store::Row>& rows);

/// @brief Decodes rows; gives nothing, and logs why, if the bytes are malformed.
[[nodiscard]] std::optional<std::vector<store::Row>> decodeRows(std::string_view compressed);

}
