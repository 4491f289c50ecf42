#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/membership/member_source.hpp"
#include "amaranthhall/peer/peer_network.hpp"
#include "amaranthhall/table/replica.hpp"

#include <functional>
#include <map>
#include <string>

namespace amaranthhall::table {

/// @brief What the parts of the table service share.
struct TableContext {
    kernel::Loop& loop;
    kernel::VmSettings vm;
    Replica replica;
    ReplicaOptions options;
    Random random;
    peer::PeerNetwork* peers { nullptr }; ///< Null if this daemon is alone.
    membership::MemberSource* members { nullptr }; ///< Null if this daemon is alone.
    std::function<void()> changed; ///< Called after each change of the replica.

    /// @brief Lists the members; none if this daemon is alone.
    [[nodiscard]] std::span<const membership::Member> listMembers() const
    {
        return this->members == nullptr ? std::span<const membership::Member> {} : this->members->members();
    }

    /// @brief Lists the other daemons, those that take calls of peers, by id.
    [[nodiscard]] std::map<std::string, kernel::Address> otherDaemons() const
    {
        std::map<std::string, kernel::Address> others;
        if (this->peers == nullptr)
            return others;
        for (const auto& member : this->listMembers()) {
            if (member.id != this->vm.id && member.peer.port != 0)
                others.emplace(member.id, member.peer);
        }
        return others;
    }
};

}
