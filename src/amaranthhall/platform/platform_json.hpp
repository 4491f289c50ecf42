#pragma once

#include "amaranthhall/platform/platform.hpp"

#include <string_view>

namespace amaranthhall::platform {

/// @brief Writes a transaction as the table service takes it.
[[nodiscard]] std::string encodeTransaction(const Transaction& transaction);

/// @brief Reads the rows of an answer; PlatformError::Malformed if it cannot be read.
[[nodiscard]] PlatformResult<std::vector<Row>> decodeRows(std::string_view body);

/// @brief Reads the list of VMs; PlatformError::Malformed if it cannot be read.
[[nodiscard]] PlatformResult<std::vector<VmEntry>> decodeVms(std::string_view body);

}
