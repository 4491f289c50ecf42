#include "amaranthhall/store/version.hpp"

#include <charconv>

namespace amaranthhall::store {

std::string formatVersion(const Version& version)
{
    return std::to_string(version.era) + "." + std::to_string(version.number);
}

Version parseVersion(const std::string& text) noexcept
{
    Version version;
    const auto* end = text.data() + text.size();
    const auto era = std::from_chars(text.data(), end, version.era);
    if (era.ec != std::errc() || era.ptr == end || *era.ptr != '.')
        return {};
    const auto number = std::from_chars(era.ptr + 1, end, version.number);
    return number.ec == std::errc() && number.ptr == end ? version : Version {};
}

}
