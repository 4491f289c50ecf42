#pragma once

#include "amaranthhall/group/group_event.hpp"
#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/membership/member_source.hpp"
#include "amaranthhall/peer/peer_network.hpp"

#include <map>
#include <string>

namespace amaranthhall::upstream {

class GroupMonitor;
struct FollowedGroup;

/// @brief Tells the other daemons of groups, and hears from them.
class GroupExchange {
public:
    GroupExchange(kernel::Loop& loop, GroupMonitor& monitor, peer::PeerNetwork& peers, membership::MemberSource& members);

    /// @brief Tells the other watchers of a group whether this one sees a working primary.
    void tellVote(const FollowedGroup& followed, const group::BroadcastVote& vote);

    /// @brief Tells the daemons that follow a group who is primary now.
    void tellView(const FollowedGroup& followed);

    /// @brief Tells the watchers of a group what this daemon's data path saw.
    void tellSymptom(const FollowedGroup& followed, const std::string& upstream, group::Symptom symptom);

    /// @brief Asks watchers for the groups that have work here but are watched elsewhere; call at each tick.
    void pull();

private:
    /// How a group that is watched elsewhere is asked for.
    struct Pulled {
        Time askedAt;
        std::size_t turn { 0 }; ///< Which watcher is asked; moves on when one does not answer.
        bool isWaiting { false };
    };

    void serve();
    void takePull(const peer::Json& parameters, const peer::PeerNetwork::Reply& reply);
    void takeView(const peer::Json& parameters);
    void takePulled(const peer::Json& answer, Time askedAt);
    void spread(const peer::Json& view, const std::vector<kernel::Address>& targets);
    void pullFrom(const std::string& watcher, const std::vector<group::GroupId>& ids);
    [[nodiscard]] const kernel::Address* findAddress(const std::string& member) const;

    kernel::Loop& loop;
    GroupMonitor& monitor;
    peer::PeerNetwork& peers;
    membership::MemberSource& members;
    std::map<group::GroupId, Pulled> pulled;
    std::map<group::GroupId, std::map<std::string, Time>> followers; ///< When each daemon last asked for a group.
};

}
