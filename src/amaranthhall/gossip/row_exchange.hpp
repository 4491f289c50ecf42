#pragma once

#include "amaranthhall/gossip/wire_format.hpp"
#include "amaranthhall/http/client.hpp"
#include "amaranthhall/http/server.hpp"
#include "amaranthhall/store/store.hpp"
#include "amaranthhall/telemetry/zone_traffic.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::gossip {

/// @brief What an exchange counts, and what its server accepts.
struct RowExchangeOptions {
    telemetry::ZoneTraffic* traffic { nullptr }; ///< Counts the bytes; may be null.
    std::optional<http::ServerLimits> limits;
};

/// @brief Transfers rows between daemons over HTTP, for daemons that cannot reach the store or do not query it.
class RowExchange {
public:
    using Source = std::function<std::vector<store::Row>(const std::string& table, store::Version after)>;
    using FetchCallback = std::function<void(const std::optional<std::vector<store::Row>>&)>;

    RowExchange(kernel::Loop& loop, const kernel::Address& listen, Source usedSource, RowExchangeOptions options = {});

    /// @brief Requests the rows of a table that are newer than a version from a peer; the callback is called once, with std::nullopt on failure.
    void fetch(const kernel::Address& peer, const std::string& table, store::Version after, FetchCallback onFetched);

    /// @brief Returns the port on which requests of peers are served.
    [[nodiscard]] std::uint16_t port() const noexcept { return this->server.port(); }

private:
    /// @brief The last response for a table; after a change many peers request the same rows.
    struct CachedAnswer {
        store::Version after;
        store::Version newest;
        WireFormat format { WireFormat::VersionsWithEra };
        std::string body;
    };

    [[nodiscard]] const std::string& encodedRows(const std::string& table, store::Version after, WireFormat format);

    Source source;
    telemetry::ZoneTraffic* traffic; ///< Counts the bytes of requests and responses; may be null.
    std::map<std::string, CachedAnswer> cachedAnswers; ///< By table.
    http::Server server;
    http::Client client;
};

/// @brief Encodes rows as compressed MessagePack.
[[nodiscard]] std::string encodeRows(const std::vector<store::Row>& rows, WireFormat format = WireFormat::VersionsWithEra);

/// @brief Decodes rows of any format; returns std::nullopt and logs the reason if the input is malformed.
[[nodiscard]] std::optional<std::vector<store::Row>> decodeRows(std::string_view compressed);

}
