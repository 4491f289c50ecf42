#pragma once

namespace amaranthhall::ctl {

/// @brief Exit codes of amaranthctl, for scripts.
enum class ExitCode : int {
    Done = 0, ///< In force everywhere, or shown.
    Refused = 1, ///< Nothing was changed.
    Usage = 2, ///< The command line is wrong; nothing was sent.
    Unknown = 3, ///< The edit may be in force; ask again with the same edit id.
    Unreachable = 4, ///< No daemon answered; nothing was changed.
    Attention = 5, ///< Daemons differ or are not ready; for `diff`, the tables differ.
};

}
