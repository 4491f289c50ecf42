#pragma once

#include "amaranthhall/table/rows.hpp"

namespace amaranthhall::table {

/// @brief Makes a table of one service with one group of three upstreams.
[[nodiscard]] inline TableImage sampleTable(Version version = 1)
{
    TableImage image { .version = version };
    image.services.push_back({ .name = "coach-ledger", .database = "ledger" });
    for (std::uint16_t i = 0; i < 3; ++i) {
        const std::string name(1, static_cast<char>('a' + i));
        image.upstreams.push_back({
            .id = { .group = { .service = "coach-ledger", .instance = "1" }, .name = name },
            .address = { .host = "127.0.0.1", .port = static_cast<std::uint16_t>(5001 + i) },
            .zone = "lautoka",
        });
    }
    return image;
}

}
