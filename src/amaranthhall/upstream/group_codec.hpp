#pragma once

#include "amaranthhall/group/group_event.hpp"
#include "amaranthhall/group/group_state.hpp"
#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/peer/peer_network.hpp"

#include <vector>

namespace amaranthhall::upstream {

/// @brief An event of a group that came from another daemon.
struct ToldEvent {
    group::GroupId group;
    group::GroupEvent event;
};

// The readers throw nlohmann::json::exception if the JSON is malformed.

[[nodiscard]] peer::Json encodeGroupId(const group::GroupId& id);
[[nodiscard]] group::GroupId decodeGroupId(const peer::Json& json);

[[nodiscard]] peer::Json encodeVote(const group::GroupId& id, const std::string& watcher, const group::BroadcastVote& vote);
[[nodiscard]] ToldEvent decodeVote(const peer::Json& json);

[[nodiscard]] peer::Json encodeReport(const group::UpstreamId& id, group::Symptom symptom);
[[nodiscard]] ToldEvent decodeReport(const peer::Json& json);

/// @brief Writes who is primary of a group.
[[nodiscard]] peer::Json encodePrimary(const group::GroupState& state, const group::GroupId& id);
[[nodiscard]] ToldEvent decodePrimary(const peer::Json& json);

/// @brief Writes all that a watcher knows of a group, with ages in place of moments.
[[nodiscard]] peer::Json encodeState(const group::GroupState& state, const group::GroupId& id, Time now);

/**
 * @brief Reads what encodeState() wrote.
 * @param askedAt When the watcher was asked, so that its ages count from no later than this.
 */
[[nodiscard]] std::vector<ToldEvent> decodeState(const peer::Json& json, Time askedAt);

}
