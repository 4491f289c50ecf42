#pragma once

#include "amaranthhall/statement/classification.hpp"

#include <string>
#include <vector>

namespace amaranthhall::session {

/// @brief The parameters that a session has set, so that each link lent to it can be given them again.
class SessionSettings {
public:
    /// @brief Takes in a SET, RESET or DISCARD that an upstream has accepted.
    void apply(const statement::Classification& statement);

    /// @brief Remembers the parameters as they are, to come back to if the transaction is rolled back.
    void beginTransaction();

    /// @brief Ends a transaction.
    void endTransaction(bool isCommitted);

    /// @brief Gives the statements that bring a fresh link to this session's parameters.
    [[nodiscard]] std::vector<std::string> statements() const;

    [[nodiscard]] bool empty() const noexcept { return this->entries.empty(); }

private:
    struct Entry {
        std::string name;
        std::string text;
    };

    std::vector<Entry> entries;
    std::vector<Entry> before;
    bool inTransaction { false };
};

}
