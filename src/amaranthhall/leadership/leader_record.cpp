#include "amaranthhall/leadership/leader_record.hpp"

namespace amaranthhall::leadership {

bool LeaderRecord::prove(const LeaderProof& fresh)
{
    if (!this->isConfirmed(fresh.upstream, fresh.point.term))
        return false;
    const auto term = this->confirmation.term;
    const bool isNewTerm = !this->proof || term > this->proof->term;
    if (!isNewTerm && (term < this->proof->term || fresh.at < this->proof->at))
        return false;
    this->proof = fresh;
    this->proof->term = term;
    return isNewTerm;
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

void LeaderRecord::confirm(const ConfirmedTerm& fresh)
{
    this->noteTerm(fresh.term);
    if (fresh.term < this->confirmation.term)
        return;
    const bool isSame = fresh.term == this->confirmation.term && fresh.upstream == this->confirmation.upstream;
    const auto lastEntry = isSame ? std::min(fresh.lastEntry, this->confirmation.lastEntry) : fresh.lastEntry;
    this->confirmation = fresh;
    this->confirmation.lastEntry = lastEntry;
}

bool LeaderRecord::isConfirmed(std::string_view upstream, group::Term lastEntry) const noexcept
{
    const auto& known = this->confirmation;
    return known.upstream == upstream && known.lastEntry <= lastEntry && lastEntry <= known.term;
}

bool LeaderRecord::isRefuted(std::string_view upstream, Time since) const noexcept
{
    const auto found = this->refutedAt.find(upstream);
    return found != this->refutedAt.end() && found->second >= since;
}

}
