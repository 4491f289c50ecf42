#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/table/rows.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace amaranthhall::table {

/// @brief Number of a stage: the version of the head row in the store that holds it. Grows with each write of the head.
using StageNumber = std::uint64_t;

/// @brief An edit that is staged and not yet decided.
struct StageInfo {
    StageNumber number { 0 };
    Version version { 0 }; ///< That it will have if it is committed.
    std::string digest;
    std::string editId;
    std::string editor; ///< VM of the daemon that runs the edit.
    kernel::Address editorAddress; ///< Where that daemon takes calls of peers.

    friend bool operator==(const StageInfo&, const StageInfo&) = default;
};

/// @brief A staged edit with its rows.
struct Stage {
    StageInfo info;
    TableImage image;
};

/// @brief The one row of the table service that decides which table is in force.
struct Head {
    Version version { 0 };
    std::string digest;
    std::optional<StageInfo> staged;

    friend bool operator==(const Head&, const Head&) = default;
};

/// @brief What a daemon or the store knows of the table.
struct Report {
    bool isLoaded { false }; ///< The reporter has learnt the table since it started.
    Version version { 0 };
    std::string digest;
    Version knownVersion { 0 }; ///< Highest version known to be committed; above `version` while the reporter is behind.
    StageNumber lastStage { 0 }; ///< Highest stage number that the reporter knows of.
    std::optional<StageInfo> stage; ///< Held and not known to be decided.
    Duration contactAge { Duration::max() }; ///< Time since the reporter knew all that was staged.
    Duration pendingAge { Duration::max() }; ///< Time since the reporter knew that the stage was undecided.

    friend bool operator==(const Report&, const Report&) = default;
};

/// @brief Gives what the head row says as a report; the read itself is the contact.
[[nodiscard]] Report makeReport(const Head& head, StageNumber rowVersion);

}
