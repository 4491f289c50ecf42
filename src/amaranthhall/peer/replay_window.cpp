#include "amaranthhall/peer/replay_window.hpp"

namespace amaranthhall::peer {

namespace {

    using namespace std::chrono_literals;

    constexpr WallTime maximumClockDifference = 15s; // bounds the clock difference between two VMs plus the time in transit
    constexpr std::size_t maximumNonces = 65'536;

}

Freshness ReplayWindow::admit(std::string_view nonce, WallTime sent, WallTime now)
{
    this->removeExpired(now);
    if (sent < this->started || sent + maximumClockDifference < now || sent > now + maximumClockDifference)
        return Freshness::Stale;
    std::string key(nonce);
    if (this->nonces.contains(key))
        return Freshness::Replayed;
    if (this->nonces.size() >= maximumNonces)
        return Freshness::Overloaded;
    this->expiryQueue.emplace_back(now, key);
    this->nonces.insert(std::move(key));
    return Freshness::Fresh;
}

void ReplayWindow::removeExpired(WallTime now)
{
    // A message with the latest accepted timestamp, now + maximumClockDifference, stays acceptable for twice that time.
    while (!this->expiryQueue.empty() && this->expiryQueue.front().first + 2 * maximumClockDifference < now) {
        this->nonces.erase(this->expiryQueue.front().second);
        this->expiryQueue.pop_front();
    }
}

}
