#include "amaranthhall/peer/replay_window.hpp"

namespace amaranthhall::peer {

namespace {

    using namespace std::chrono_literals;

    constexpr WallTime acceptedAge = 15s; // clocks of two VMs may differ by less than this
    constexpr std::size_t keptNonces = 65'536;

}

Freshness ReplayWindow::admit(std::string_view nonce, WallTime sent, WallTime now)
{
    this->forget(now);
    if (sent < this->started || sent + acceptedAge < now || sent > now + acceptedAge)
        return Freshness::Stale;
    std::string key(nonce);
    if (this->seen.contains(key))
        return Freshness::Replayed;
    if (this->seen.size() >= keptNonces)
        return Freshness::Overloaded;
    this->order.emplace_back(now, key);
    this->seen.insert(std::move(key));
    return Freshness::Fresh;
}

void ReplayWindow::forget(WallTime now)
{
    // A message of the future stays acceptable for twice the accepted age.
    while (!this->order.empty() && this->order.front().first + 2 * acceptedAge < now) {
        this->seen.erase(this->order.front().second);
        this->order.pop_front();
    }
}

}
