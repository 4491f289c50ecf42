#pragma once

#include "amaranthhall/freshness/sample_window.hpp"
#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/store/version.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhall::leadership {

/// @brief Proof that an upstream led at a point in time: it opened a read-write transaction or committed a write.
struct LeaderProof {
    std::string upstream;
    group::LogPoint point;
    Time at; ///< When the request was sent.
    group::Term term { 0 }; ///< Set by LeaderRecord to the confirmed term.
};

/**
 * @brief A leader that has applied every log entry it had received when it was promoted.
 *
 * The last log entry may belong to an earlier term, because the first commit of a term follows the promotion.
 */
struct ConfirmedTerm {
    std::string upstream;
    group::Term term { 0 };
    group::Term lastEntryTerm { 0 }; ///< Term of the last log entry.
};

/// @brief An upstream's claim to be the primary, from its registration or a promotion.
struct PrimaryClaim {
    std::string_view upstream;
    store::Version version; ///< Store version at which it took the role.
    Time seenAt; ///< When this daemon learned of the claim.
};

/// @brief Tracks the primary of one service from proofs, refusals and confirmed terms.
class LeaderRecord {
public:
    /**
     * @brief Records a proof. It is ignored if the leader is not confirmed, or the proof is older than the recorded one by term or time.
     * @return True if it is the first proof of a newer term.
     */
    bool recordProof(const LeaderProof& proof);

    /// @brief Records that an upstream answered a request sent at `askedAt` with a refusal because it does not lead.
    void recordRefusal(std::string_view upstream, Time askedAt);

    /**
     * @brief Returns the upstream that most probably leads: the one with the valid proof, or the newest claim if there is no proof or the claim came later.
     * @param claims Upstreams of the service that claim to be the primary.
     * @return Empty if no leader is known.
     */
    [[nodiscard]] std::optional<std::string_view> leader(std::span<const PrimaryClaim> claims) const noexcept;

    /**
     * @brief Records that a primary has applied every log entry it had received when it was promoted.
     *
     * Until then its reads lack commits acknowledged by the previous primary, and its positions must not be used as
     * samples. A confirmation of an older term than the confirmed one is ignored.
     */
    void confirm(const ConfirmedTerm& confirmation);

    /**
     * @brief Returns true if an upstream is known to have caught up in its term.
     * @param lastEntryTerm Term of its last log entry, as reported in an answer.
     */
    [[nodiscard]] bool isConfirmed(std::string_view upstream, group::Term lastEntryTerm) const noexcept;

    /// @brief Records that a term has started, whichever upstream leads in it.
    void noteTerm(group::Term term) noexcept { this->newestKnownTerm = std::max(this->newestKnownTerm, term); }

    /// @brief Returns the newest term known to have started; 0 if none is known.
    [[nodiscard]] group::Term newestTerm() const noexcept { return this->newestKnownTerm; }

    /// @brief Returns the newest proof.
    [[nodiscard]] const std::optional<LeaderProof>& newestProof() const noexcept { return this->proof; }

private:
    [[nodiscard]] bool hasRefusedSince(std::string_view upstream, Time since) const noexcept;

    std::optional<LeaderProof> proof;
    std::map<std::string, Time, std::less<>> refusedAt; ///< Send time of the latest refused request by upstream.
    ConfirmedTerm confirmation;
    group::Term newestKnownTerm { 0 };
};

}
