#pragma once

#include <string>
#include <string_view>

namespace amaranthhall::kernel {

/// @brief What is wrong with a settings file.
struct SettingsError {
    int line { 0 }; ///< 1-based; 0 if the whole file is meant.
    std::string key;
    std::string problem;
};

/// @brief Formats an error as `file:line: key: problem`.
[[nodiscard]] std::string formatError(std::string_view file, const SettingsError& error);

}
