#pragma once

#include "amaranthhall/ctl/command_line.hpp"

namespace amaranthhall::ctl {

/// @brief One daemon with what it answered.
struct FleetAnswer {
    std::string vm;
    std::string zone;
    std::string state; ///< As the asked daemon believes: live, suspected, leaving.
    ClientResult result;
};

/**
 * @brief Finds all daemons through one, and asks each.
 * @param path Such as `/v1/status`.
 * @return The answers by VM; the error is that of finding them.
 */
[[nodiscard]] tl::expected<std::vector<FleetAnswer>, ClientError> askFleet(const DaemonClient& daemons, std::string_view path);

/// @brief One fact and who believes it.
struct Belief {
    std::string subject; ///< Such as `primary of coach-ledger/1`.
    std::string value;
    std::vector<std::string> holders;
};

/// @brief Tells in words where daemons differ: for each subject with several values, who believes which.
[[nodiscard]] std::vector<std::string> explainDifferences(const std::vector<Belief>& beliefs);

/// @brief Adds a holder to a belief, which is made if it is new.
void addBelief(std::vector<Belief>& beliefs, std::string_view subject, std::string_view value, std::string_view holder);

}
