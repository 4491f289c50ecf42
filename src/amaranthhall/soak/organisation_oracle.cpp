#include "amaranthhall/soak/organisation_oracle.hpp"

#include <algorithm>

namespace amaranthhall::soak {

namespace {

    using namespace std::chrono_literals;

    // The bound of operations in any window, as in the settings of the daemons.
    constexpr Duration window = 5s;
    constexpr double excess = 0.1;
    constexpr double slack = 20; // operations

}

void OrganisationOracle::noteRun(const std::string& organisation, const std::string& id, Time at)
{
    const auto statement = this->sent.find(id);
    if (statement == this->sent.end()) {
        this->found.push_back("an upstream ran " + id + ", which no caller sent");
        return;
    }
    const auto& expected = statement->second;
    if (organisation != expected.organisation)
        this->found.push_back(id + " of " + expected.organisation + " ran on a link of '" + organisation + "'");
    const auto withdrawn = this->withdrawnAt.find(expected.key);
    const bool isUndisturbed = withdrawn != this->withdrawnAt.end() && this->disturbedAt <= withdrawn->second;
    if (isUndisturbed && expected.at - withdrawn->second > withdrawalTime)
        this->found.push_back(id + " ran though its key had been withdrawn");
    this->countOperation(organisation, expected.operation, at);
}

void OrganisationOracle::countOperation(const std::string& organisation, std::uint64_t operation, Time at)
{
    const auto limit = this->limits.find(organisation);
    if (limit == this->limits.end() || !this->counted.emplace(operation, true).second)
        return;
    auto& times = this->recent[organisation];
    times.push_back(at);
    while (at - times.front() >= window)
        times.pop_front();
    const auto seconds = std::chrono::duration<double>(window).count();
    const auto bound = (limit->second.perSecond * seconds + limit->second.burst) * (1 + excess) + slack;
    if (static_cast<double>(times.size()) > bound)
        this->found.push_back(organisation + " ran " + std::to_string(times.size()) + " operations in a window");
}

}
