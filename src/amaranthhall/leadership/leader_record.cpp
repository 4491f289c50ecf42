#include "amaranthhall/leadership/leader_record.hpp"

namespace amaranthhall::leadership {

void LeaderRecord::prove(const LeaderProof& fresh)
{
    if (this->proof && fresh.point.term < this->proof->point.term)
        return;
    const bool isOlder = this->proof && fresh.point.term == this->proof->point.term && fresh.at < this->proof->at;
    if (!isOlder)
        this->proof = fresh;
}

void LeaderRecord::refute(std::string_view upstream, Time askedAt)
{
    auto& at = this->refutedAt[std::string(upstream)];
    if (at < askedAt)
        at = askedAt;
}

std::optional<std::string_view> LeaderRecord::leader(std::span<const PrimaryClaim> claims) const noexcept
{
    const PrimaryClaim* newest = nullptr;
    for (const auto& claim : claims) {
        if (this->isRefuted(claim.upstream, claim.seenAt))
            continue;
        if (!newest || claim.version > newest->version)
            newest = &claim;
    }
    const bool isProofStanding = this->proof && !this->isRefuted(this->proof->upstream, this->proof->at);
    if (!isProofStanding)
        return newest ? std::optional(newest->upstream) : std::nullopt;
    // A claim that came after the proof tells of a promotion since.
    if (newest && newest->upstream != this->proof->upstream && newest->seenAt > this->proof->at)
        return newest->upstream;
    return this->proof->upstream;
}

void LeaderRecord::confirm(std::string_view upstream, group::Term term)
{
    if (term < this->confirmedTerm)
        return;
    this->confirmedUpstream = upstream;
    this->confirmedTerm = term;
}

bool LeaderRecord::isConfirmed(std::string_view upstream, group::Term term) const noexcept
{
    return this->confirmedTerm == term && this->confirmedUpstream == upstream;
}

bool LeaderRecord::isRefuted(std::string_view upstream, Time since) const noexcept
{
    const auto found = this->refutedAt.find(upstream);
    return found != this->refutedAt.end() && found->second >= since;
}

}
