#pragma once

#include "amaranthhall/table/edit.hpp"

namespace amaranthhall::table::internal {

/// @brief Tells the operator, once.
void answer(Edit& edit, EditActions& actions, EditResult result);

/// @brief Writes the head with the edit staged.
void writeStage(Edit& edit, EditActions& actions);

/// @brief Writes the head with the edit in force.
void writeCommit(Edit& edit, EditActions& actions);

/// @brief Ends an edit that this editor never commits from now on; members forget its stage.
void withdraw(Edit& edit, EditActions& actions);

/// @brief Withdraws an edit, takes its stage out of the store and tells the operator why.
void abort(Edit& edit, EditActions& actions, std::string reason);

void beginConfirming(Edit& edit, EditActions& actions, Time now);
void takeVoters(Edit& edit, EditActions& actions, const std::vector<Voter>& voters, Time now);
void takeConfirmation(Edit& edit, EditActions& actions, std::string_view voter, Time now);
void takeDenial(Edit& edit, EditActions& actions, const Denied& event, Time now);
void tickConfirming(Edit& edit, EditActions& actions, Time now);

void beginSpreading(Edit& edit, EditActions& actions, Time now);
void takeApplied(Edit& edit, EditActions& actions, std::string_view voter, Time now);
void tickSpreading(Edit& edit, EditActions& actions, Time now);

}
