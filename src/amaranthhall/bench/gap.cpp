#include "amaranthhall/bench/gap.hpp"

#include <algorithm>
#include <vector>

namespace amaranthhall::bench {

std::optional<std::chrono::milliseconds> measureGap(const History& history, std::size_t instance, Time fault, Duration window)
{
    auto lastBefore = Time::min();
    std::vector<Time> after;
    for (const auto& write : history.writes) {
        if (write.instance != instance || write.told != Told::Acknowledged || write.ended > fault + window)
            continue;
        if (write.ended <= fault)
            lastBefore = std::max(lastBefore, write.ended);
        else
            after.push_back(write.ended);
    }
    if (after.empty() || lastBefore == Time::min())
        return std::nullopt;
    std::sort(after.begin(), after.end());
    auto longest = after.front() - lastBefore;
    for (std::size_t i = 1; i < after.size(); ++i)
        longest = std::max(longest, after[i] - after[i - 1]);
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
}

}
