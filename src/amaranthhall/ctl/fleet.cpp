#include "amaranthhall/ctl/fleet.hpp"

#include <algorithm>

namespace amaranthhall::ctl {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t namedHolders = 4;

    std::string listHolders(const std::vector<std::string>& holders)
    {
        std::string text;
        for (std::size_t i = 0; i < std::min(holders.size(), namedHolders); ++i)
            text += (i == 0 ? "" : ", ") + holders[i];
        return holders.size() <= namedHolders ? text : text + " and " + std::to_string(holders.size() - namedHolders) + " more";
    }

}

tl::expected<std::vector<FleetAnswer>, ClientError> askFleet(const DaemonClient& daemons, std::string_view path)
{
    const auto found = daemons.ask("GET", "/v1/members");
    if (!found)
        return tl::make_unexpected(found.error());
    std::vector<FleetAnswer> answers;
    std::vector<kernel::Address> addresses;
    for (const auto& member : found->body.value("members", Json::array())) {
        const auto address = kernel::parseAddress(member.value("admin", ""));
        addresses.push_back(address.value_or(kernel::Address {}));
        answers.push_back({ .vm = member.value("id", ""), .zone = member.value("zone", ""), .state = member.value("state", ""), .result = tl::make_unexpected(ClientError {}) });
    }
    auto results = DaemonClient::askEach(addresses, path);
    for (std::size_t i = 0; i < answers.size(); ++i)
        answers[i].result = std::move(results[i]);
    return answers;
}

void addBelief(std::vector<Belief>& beliefs, std::string_view subject, std::string_view value, std::string_view holder)
{
    const auto found = std::find_if(beliefs.begin(), beliefs.end(), [&](const auto& belief) { return belief.subject == subject && belief.value == value; });
    if (found != beliefs.end())
        found->holders.emplace_back(holder);
    else
        beliefs.push_back({ .subject = std::string(subject), .value = std::string(value), .holders = { std::string(holder) } });
}

std::vector<std::string> explainDifferences(const std::vector<Belief>& beliefs)
{
    std::vector<std::string> lines;
    for (auto belief = beliefs.begin(); belief != beliefs.end(); ++belief) {
        const auto isSame = [&](const auto& other) { return other.subject == belief->subject; };
        if (std::any_of(beliefs.begin(), belief, isSame) || std::count_if(beliefs.begin(), beliefs.end(), isSame) < 2)
            continue;
        std::string line = belief->subject + ": ";
        for (auto other = belief; other != beliefs.end(); ++other) {
            if (isSame(*other))
                line += (other == belief ? "" : "; ") + other->value + " on " + listHolders(other->holders);
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

}
