#pragma once

#include "amaranthhall/catalog/organisation.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace amaranthhall::soak {

/// @brief A statement that a caller sends.
struct SentStatement {
    std::string key; ///< API key of the caller's session.
    std::string organisation; ///< Holder of the key.
    std::uint64_t operation { 0 }; ///< The same for all statements of a transaction.
    Time at;
};

/// @brief Checks that statements run under the organisation of their key, not after the key was withdrawn, and within the organisation's limit.
class OrganisationOracle {
public:
    /// @brief Time after a withdrawal from which a statement must not run, if nothing disturbed daemons and store since.
    static constexpr Duration withdrawalTime = std::chrono::seconds(5);

    /// @brief Sets the limit of an organisation for the whole run.
    void setLimit(const std::string& organisation, const catalog::OperationLimit& limit) { this->limits[organisation] = limit; }

    void noteSent(const std::string& id, SentStatement statement) { this->sent[id] = std::move(statement); }

    /// @brief Records that an upstream ran a statement on a link of an organisation.
    void noteRun(const std::string& organisation, const std::string& id, Time at);

    void noteWithdrawn(const std::string& key, Time at) { this->withdrawnAt[key] = at; }
    void noteRestored(const std::string& key) { this->withdrawnAt.erase(key); }

    /// @brief Records a fault that may delay the configuration.
    void noteDisturbance(Time at) { this->disturbedAt = at; }

    /// @brief Returns what was wrong so far.
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return this->found; }

private:
    void countOperation(const std::string& organisation, std::uint64_t operation, Time at);

    std::map<std::string, SentStatement> sent; ///< By statement id.
    std::map<std::string, Time> withdrawnAt; ///< By key.
    std::map<std::string, catalog::OperationLimit> limits; ///< By organisation.
    std::map<std::string, std::deque<Time>> recent; ///< Operations of the current window, by organisation.
    std::map<std::uint64_t, bool> counted; ///< Operations that are in a window already.
    Time disturbedAt;
    std::vector<std::string> found;
};

}
