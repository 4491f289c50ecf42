#include "amaranthhall/bench/profile.hpp"

namespace amaranthhall::bench {

namespace {

    using namespace std::chrono_literals;

    Profile makeLautoka()
    {
        return { .name = "lautoka", .service = "coach-ledger", .zones = { "lautoka", "nadi", "ba" }, .connectionLimit = 30, .connectDelay = 10ms };
    }

    Profile makeCorrib()
    {
        return {
            .name = "corrib",
            .service = "recoveries-db",
            .zones = { "ie-west-a", "ie-west-b", "ie-west-c", "ie-west-d" },
            .daemons = 15,
            .connectionLimit = 60,
            .connectDelay = 30ms,
            .mix = { .writes = 8, .keyedWrites = 8, .transactions = 4, .staleReads = 40 },
        };
    }

}

std::optional<Profile> findProfile(std::string_view name)
{
    if (name == "lautoka")
        return makeLautoka();
    if (name == "corrib")
        return makeCorrib();
    return std::nullopt;
}

}
