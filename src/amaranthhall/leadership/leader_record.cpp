#include "amaranthhall/leadership/leader_record.hpp"

namespace amaranthhall::leadership {

bool LeaderRecord::recordProof(const LeaderProof& fresh)
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

void LeaderRecord::recordRefusal(std::string_view upstream, Time askedAt)
{
    auto& at = this->refusedAt[std::string(upstream)];
    if (at < askedAt)
        at = askedAt;
}

std::optional<std::string_view> LeaderRecord::leader(std::span<const PrimaryClaim> claims) const noexcept
{
    const PrimaryClaim* newestClaim = nullptr;
    for (const auto& claim : claims) {
        if (this->hasRefusedSince(claim.upstream, claim.seenAt))
            continue;
        if (!newestClaim || claim.version > newestClaim->version)
            newestClaim = &claim;
    }
    const bool isProofValid = this->proof && !this->hasRefusedSince(this->proof->upstream, this->proof->at);
    if (!isProofValid)
        return newestClaim ? std::optional(newestClaim->upstream) : std::nullopt;
    // A claim of another upstream that was seen after the proof indicates a later promotion.
    if (newestClaim && newestClaim->upstream != this->proof->upstream && newestClaim->seenAt > this->proof->at)
        return newestClaim->upstream;
    return this->proof->upstream;
}

void LeaderRecord::confirm(const ConfirmedTerm& fresh)
{
    this->noteTerm(fresh.term);
    if (fresh.term < this->confirmation.term)
        return;
    const bool isSame = fresh.term == this->confirmation.term && fresh.upstream == this->confirmation.upstream;
    const auto lastEntryTerm = isSame ? std::min(fresh.lastEntryTerm, this->confirmation.lastEntryTerm) : fresh.lastEntryTerm;
    this->confirmation = fresh;
    this->confirmation.lastEntryTerm = lastEntryTerm;
}

bool LeaderRecord::isConfirmed(std::string_view upstream, group::Term lastEntryTerm) const noexcept
{
    const auto& known = this->confirmation;
    return known.upstream == upstream && known.lastEntryTerm <= lastEntryTerm && lastEntryTerm <= known.term;
}

bool LeaderRecord::hasRefusedSince(std::string_view upstream, Time since) const noexcept
{
    const auto found = this->refusedAt.find(upstream);
    return found != this->refusedAt.end() && found->second >= since;
}

}
