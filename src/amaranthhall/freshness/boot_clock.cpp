#include "amaranthhall/freshness/boot_clock.hpp"

#include <ctime>

namespace amaranthhall::freshness {

Micros bootNow() noexcept
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<Micros>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}

}
