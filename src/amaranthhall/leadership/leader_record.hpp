#pragma once

#include "amaranthhall/freshness/sample_window.hpp"
#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/time.hpp"

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
};

/// @brief An upstream that registered itself as primary.
struct PrimaryClaim {
    std::string_view upstream;
    std::uint64_t version { 0 }; ///< Of the store, when it took the role.
    Time seenAt; ///< When this daemon learned of the claim.
};

/// @brief What is known of the primary of one service.
class LeaderRecord {
public:
    /// @brief Takes in evidence; evidence of an older term than the newest is dropped.
    void prove(const LeaderProof& proof);

    /// @brief Takes in that an upstream refused as one that does not lead, when asked at a moment.
    void refute(std::string_view upstream, Time askedAt);

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
     */
    void confirm(std::string_view upstream, group::Term term);

    /// @brief Tells whether an upstream is known to have caught up in a term.
    [[nodiscard]] bool isConfirmed(std::string_view upstream, group::Term term) const noexcept;

    /// @brief Gives the newest evidence.
    [[nodiscard]] const std::optional<LeaderProof>& newestProof() const noexcept { return this->proof; }

private:
    [[nodiscard]] bool isRefuted(std::string_view upstream, Time since) const noexcept;

    std::optional<LeaderProof> proof;
    std::map<std::string, Time, std::less<>> refutedAt;
    std::string confirmedUpstream;
    group::Term confirmedTerm { 0 };
};

}
