#include "amaranthhall/rig/process_usage.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace amaranthhall::rig {

namespace {

    // proc(5): after the closing parenthesis of the name, utime, stime and rss are these fields.
    constexpr int userField = 11;
    constexpr int systemField = 12;
    constexpr int residentField = 21;

}

ProcessUsage readUsage(pid_t process)
{
    std::ifstream stream("/proc/" + std::to_string(process) + "/stat");
    std::string line;
    std::getline(stream, line);
    const auto name = line.rfind(')');
    if (name == std::string::npos)
        return {};
    std::istringstream fields(line.substr(name + 1));
    ProcessUsage usage;
    std::string field;
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    const auto pageBytes = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    for (int i = 0; i <= residentField && fields >> field; ++i) {
        if (i == userField || i == systemField)
            usage.processor += std::chrono::duration<double>(std::stod(field) / ticks);
        if (i == residentField)
            usage.residentBytes = std::stoull(field) * pageBytes;
    }
    return usage;
}

}
