#pragma once

#include "amaranthhall/rig/caller.hpp"
#include "amaranthhall/rig/cluster.hpp"

#include <filesystem>
#include <string>

namespace amaranthhall::integration {

/// @brief Gives the options of a small cluster whose logs lie below the build folder.
[[nodiscard]] inline rig::ClusterOptions makeOptions(const std::string& name)
{
    const auto binaries = std::filesystem::canonical("/proc/self/exe").parent_path();
    return { .binaries = binaries.string(), .workFolder = (binaries.parent_path() / "integration" / name).string() };
}

}
