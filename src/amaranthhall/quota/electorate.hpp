#pragma once

#include "amaranthhall/gossip/peer_registry.hpp"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::quota {

/**
 * @brief Time for which a daemon that was lost without having left keeps its vote.
 *
 * The peer registry removes a daemon after ten seconds without activity; if its vote ended then, both parts of a longer partition would have all votes of
 * their own fleet. A daemon that was killed for good costs nothing in the meantime unless more than a third of an organisation's voters are lost.
 */
inline constexpr Duration voteRetention = std::chrono::minutes(10);

/// @brief A daemon that may vote.
struct Member {
    std::string vm;
    double cores { 1 };
};

/// @brief The other daemons that have a vote: the peers, and those that were lost within voteRetention.
class Electorate {
public:
    /// @brief Adds and removes members as the registry has changed. A peer that is gone although it was active lately has left, and its vote ends.
    void update(const gossip::PeerRegistry& peers, Time now);

    /// @brief Records when the peers were last active and removes those lost for longer than voteRetention.
    void observe(const gossip::PeerRegistry& peers, Time now);

    /// @brief Returns the voters of an organisation: the maximumVoters daemons with the highest scores, of the members and this daemon.
    [[nodiscard]] std::vector<std::string> voters(std::string_view organisation, const Member& self) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->members.size(); }

    /// @brief Returns a number that changes with the members.
    [[nodiscard]] std::uint64_t version() const noexcept { return this->changeCount; }

private:
    struct Entry {
        double cores { 1 };
        Time lastActivity;
        Time lostAt { Time::max() };
    };

    std::map<std::string, Entry, std::less<>> members; ///< By VM.
    std::uint64_t changeCount { 1 };
};

}
