#pragma once

#include <cstdint>
#include <random>

namespace amaranthhall::kernel {

/// @brief Returns a seed that the operating system draws; different in each process and on each call.
[[nodiscard]] inline std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}
