#pragma once

#include "amaranthhall/ctl/command_line.hpp"

namespace amaranthhall::ctl {

[[nodiscard]] ExitCode showTable(Invocation& invocation);
[[nodiscard]] ExitCode applyTable(Invocation& invocation);
[[nodiscard]] ExitCode setCells(Invocation& invocation);
[[nodiscard]] ExitCode diffTable(Invocation& invocation);
[[nodiscard]] ExitCode showHistory(Invocation& invocation);
[[nodiscard]] ExitCode showStatus(Invocation& invocation);
[[nodiscard]] ExitCode showInstances(Invocation& invocation);
[[nodiscard]] ExitCode showGroups(Invocation& invocation);
[[nodiscard]] ExitCode showShares(Invocation& invocation);
[[nodiscard]] ExitCode showCompletion(Invocation& invocation);

/// @brief Tells the operator that no daemon answered.
[[nodiscard]] ExitCode reportUnreachable(Invocation& invocation, const ClientError& error);

}
