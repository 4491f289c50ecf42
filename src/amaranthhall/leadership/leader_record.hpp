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

/// @brief Evidence that an upstream led at a moment: it opened a plain transaction or committed a write.
struct LeaderProof {
    std::string upstream;
    group::LogPoint point;
    Time at; ///< When it was asked.
    group::Term term { 0 }; ///< Filled in by the record.
};

/**
 * @brief An upstream that leads and shows all that it had received when it was promoted.
 *
 * Its log may still end in an entry of an earlier term: the first commit of a term comes later than the promotion.
 */
struct ConfirmedTerm {
    std::string upstream;
    group::Term term { 0 };
    group::Term lastEntryTerm { 0 }; ///< Term of the last entry of its log.
};

/// @brief An upstream that registered itself as primary.
struct PrimaryClaim {
    std::string_view upstream;
    store::Version version; ///< Of the store, when it took the role.
    Time seenAt; ///< When this daemon learned of the claim.
};

/// @brief What is known of the primary of one service.
class LeaderRecord {
public:
    /**
     * @brief Takes in evidence of a confirmed leader; evidence of an older term than the newest is dropped.
     * @return True if it is the first evidence of a newer term.
     */
    bool recordProof(const LeaderProof& proof);

    /// @brief Takes in that an upstream refused as one that does not lead, when asked at a moment.
    void recordRefusal(std::string_view upstream, Time askedAt);

    /**
     * @brief Gives the upstream that most probably leads.
     * @param claims Upstreams of the service that registered themselves as primary.
     * @return Nothing if none is known.
     */
    [[nodiscard]] std::optional<std::string_view> leader(std::span<const PrimaryClaim> claims) const noexcept;

    /**
     * @brief Takes in that a primary has applied all that it had received when it was promoted.
     *
     * Before, its reads lack commits that the earlier primary acknowledged, and its positions are no samples.
     * Confirmations of an older term than the newest are dropped.
     */
    void confirm(const ConfirmedTerm& confirmation);

    /**
     * @brief Tells whether an upstream is known to have caught up in its term.
     * @param lastEntryTerm Term of the last entry of its log, as an answer told.
     */
    [[nodiscard]] bool isConfirmed(std::string_view upstream, group::Term lastEntryTerm) const noexcept;

    /// @brief Takes in that a term has begun, whoever leads in it.
    void noteTerm(group::Term term) noexcept { this->newestKnownTerm = std::max(this->newestKnownTerm, term); }

    /// @brief Gives the newest term that is known to have begun; 0 if none is.
    [[nodiscard]] group::Term newestTerm() const noexcept { return this->newestKnownTerm; }

    /// @brief Gives the newest evidence.
    [[nodiscard]] const std::optional<LeaderProof>& newestProof() const noexcept { return this->proof; }

private:
    [[nodiscard]] bool hasRefusedSince(std::string_view upstream, Time since) const noexcept;

    std::optional<LeaderProof> proof;
    std::map<std::string, Time, std::less<>> refusedAt;
    ConfirmedTerm confirmation;
    group::Term newestKnownTerm { 0 };
};

}
