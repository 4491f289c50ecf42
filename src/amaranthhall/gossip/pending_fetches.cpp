#include "amaranthhall/gossip/pending_fetches.hpp"

#include <algorithm>

namespace amaranthhall::gossip {

bool PendingFetches::mayStart(std::string_view peer, Time now) const noexcept
{
    if (this->startedAt.size() >= maximumCount || this->startedAt.contains(peer))
        return false;
    return std::all_of(this->startedAt.begin(), this->startedAt.end(), [now](const auto& pending) { return now - pending.second >= hedgeDelay; });
}

void PendingFetches::finish(std::string_view peer)
{
    const auto found = this->startedAt.find(peer);
    if (found != this->startedAt.end())
        this->startedAt.erase(found);
}

}
