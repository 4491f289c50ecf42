#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::gossip {

/// @brief Requests to peers for rows of one table that are not answered yet.
class PendingFetches {
public:
    static constexpr Duration hedgeDelay = std::chrono::milliseconds(400); ///< After this time without an answer another peer is asked, too.
    static constexpr std::size_t maximumCount = 3; ///< Requests for the same rows at the same time.

    /// @brief Returns whether a peer is to be asked now.
    [[nodiscard]] bool mayStart(std::string_view peer, Time now) const noexcept;

    void start(std::string_view peer, Time now) { this->startedAt.insert_or_assign(std::string(peer), now); }
    void finish(std::string_view peer);

private:
    std::map<std::string, Time, std::less<>> startedAt; ///< By peer.
};

}
