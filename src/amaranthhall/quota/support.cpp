#include "amaranthhall/quota/support.hpp"

#include "amaranthhall/quota/shares.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::quota {

namespace {

    /// Allows the initial tokens for one start in a part of the window, so that the starts of all owners together stay within the room.
    bool allowStart(Lease& lease, const Tenure& tenure, Duration window, Time now)
    {
        if (lease.started == tenure)
            return true; // the reply was lost
        if (now - lease.startedAt < window / startsPerWindow)
            return false;
        lease.started = tenure;
        lease.startedAt = now;
        return true;
    }

}

LeaseReply grantLease(Lease& lease, std::string_view owner, const LeaseRequest& request, Duration window, Time now)
{
    const Tenure tenure { .owner = std::string(owner), .startedAt = request.tenure };
    LeaseReply reply { .sentAt = request.sentAt, .mayStart = request.isStarting && allowStart(lease, tenure, window, now) };
    const auto lent = now < lease.lentUntil ? lease.lentPerSecond : 0;
    if (lease.tenure != tenure)
        reply.lentPerSecond = lent;
    const bool isHandedOver = std::find(request.lineage.begin(), request.lineage.end(), lease.tenure) != request.lineage.end();
    // A daemon owns a bucket once, so its earlier tenure has ended.
    const bool isSameOwner = lease.tenure.owner == owner;
    const bool isFree = now >= lease.until;
    if (!isSameOwner && !isHandedOver && !isFree) {
        reply.owner = lease.tenure.owner;
        return reply;
    }
    reply.isGranted = true;
    reply.isContinued = isHandedOver || lease.tenure == tenure;
    lease.tenure = tenure;
    lease.until = now + leaseTime;
    if (request.lentPerSecond >= lent) {
        lease.lentPerSecond = request.lentPerSecond;
        lease.lentUntil = now + shareLifetime;
    }
    return reply;
}

void setVoters(Support& support, const std::vector<std::string>& names, std::size_t voters)
{
    support.voters = std::max<std::size_t>(1, voters);
    std::erase_if(support.votes, [&](const auto& item) { return std::find(names.begin(), names.end(), item.first) == names.end(); });
}

void applyLease(Support& support, std::string_view voter, const LeaseReply& reply, Time activeSince, Time sentAt, Time now)
{
    auto found = support.votes.find(voter);
    const bool isKnown = found != support.votes.end() && found->second.until != Time {};
    if (found == support.votes.end())
        found = support.votes.emplace(voter, Vote {}).first;
    auto& vote = found->second;
    vote.repliedAt = now;
    vote.mayStart = vote.mayStart || reply.mayStart;
    vote.rival = reply.owner;
    vote.lentPerSecond = std::max(vote.lentPerSecond, reply.lentPerSecond);
    if (!reply.isGranted)
        return;
    if (!reply.isContinued)
        vote.since = now;
    else if (!isKnown)
        vote.since = activeSince;
    vote.until = std::max(vote.until, sentAt + leaseTime);
}

std::optional<double> lentByEarlierOwners(const Support& support) noexcept
{
    // An owner announces shares only with two thirds of the votes, so one voter of any half knows of them.
    if (support.votes.size() * 2 <= support.voters)
        return std::nullopt;
    double lent = 0;
    for (const auto& [voter, vote] : support.votes)
        lent = std::max(lent, vote.lentPerSecond);
    return lent;
}

bool haveAllReplied(const Support& support) noexcept
{
    return support.votes.size() >= support.voters;
}

bool mayStart(const Support& support) noexcept
{
    const auto allowing = std::count_if(support.votes.begin(), support.votes.end(), [](const auto& item) { return item.second.mayStart; });
    return static_cast<std::size_t>(allowing) * 2 > support.voters;
}

double supportedFraction(std::size_t votes, std::size_t voters) noexcept
{
    return std::clamp(3.0 * static_cast<double>(votes) / static_cast<double>(voters) - 1, 0.0, 1.0);
}

namespace {

    double fractionSince(const Support& support, Time since, Time now) noexcept
    {
        const auto valid = std::count_if(support.votes.begin(), support.votes.end(), [&](const auto& item) { return item.second.since <= since && now < item.second.until; });
        return supportedFraction(static_cast<std::size_t>(valid), support.voters);
    }

}

double currentFraction(const Support& support, Time now) noexcept
{
    return fractionSince(support, now, now);
}

catalog::OperationLimit scaleLimit(const catalog::OperationLimit& limit, double fraction) noexcept
{
    if (fraction <= 0)
        return {};
    return { .perSecond = limit.perSecond * fraction, .burst = std::max(std::min(1.0, limit.burst), limit.burst * fraction) };
}

void refillSupported(Bucket& bucket, const Support& support, const catalog::OperationLimit& limit, Time now) noexcept
{
    auto scaled = scaleLimit(limit, currentFraction(support, now));
    scaled.perSecond = limit.perSecond * fractionSince(support, bucket.refilledAt, now);
    refill(bucket, scaled, now);
}

std::optional<std::string> strongerRival(const Support& support, std::string_view self, Time now)
{
    std::size_t own = 0;
    std::map<std::string_view, std::size_t> rivals;
    for (const auto& [voter, vote] : support.votes) {
        if (now < vote.until)
            ++own;
        else if (!vote.rival.empty() && now - vote.repliedAt < leaseTime)
            ++rivals[vote.rival];
    }
    const auto isWeaker = [](const auto& left, const auto& right) { return left.second != right.second ? left.second < right.second : left.first > right.first; };
    const auto strongest = std::max_element(rivals.begin(), rivals.end(), isWeaker);
    if (strongest == rivals.end() || !isWeaker(std::pair(self, own), std::pair(strongest->first, strongest->second)))
        return std::nullopt;
    return std::string(strongest->first);
}

}
