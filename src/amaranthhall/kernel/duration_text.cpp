#include "amaranthhall/kernel/duration_text.hpp"

#include <array>
#include <charconv>
#include <cstdint>

namespace amaranthhall::kernel {

namespace {

    struct Unit {
        std::string_view name;
        std::int64_t millis;
    };

    constexpr std::array<Unit, 4> units { { { "h", 3'600'000 }, { "m", 60'000 }, { "s", 1'000 }, { "ms", 1 } } };
    constexpr std::int64_t longestMillis = 366LL * 24 * 3'600'000;

}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc() || count < 0)
        return std::nullopt;
    const auto suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const auto& unit : units) {
        if (unit.name == suffix && count <= longestMillis / unit.millis)
            return std::chrono::milliseconds(count * unit.millis);
    }
    return std::nullopt;
}

std::string formatDuration(std::chrono::milliseconds duration)
{
    const auto count = static_cast<std::int64_t>(duration.count());
    for (const auto& unit : units) {
        if (count != 0 && count % unit.millis == 0)
            return std::to_string(count / unit.millis) + std::string(unit.name);
    }
    return std::to_string(count) + "ms";
}

}
