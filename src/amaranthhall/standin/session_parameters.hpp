#pragma once

#include "amaranthhall/pgwire/error_fields.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhall::standin {

/// @brief A session's parameters, as SET and SHOW know them.
class SessionParameters {
public:
    SessionParameters();

    /// @brief Sets a parameter for good, as the start of a session does; names it does not know are kept too.
    void preset(const std::string& name, const std::string& value);

    /// @brief What a statement did to the parameters.
    struct Change {
        std::string tag;
        std::string column; ///< Of a SHOW.
        std::optional<std::string> shown; ///< Of a SHOW.
    };

    /// @brief Runs SET, RESET or SHOW; gives nothing for another statement.
    [[nodiscard]] std::optional<tl::expected<Change, pgwire::ErrorFields>> run(std::string_view text);

    /// @brief Gives a value; empty if it is not set.
    [[nodiscard]] std::string find(const std::string& name) const;

    /// @brief Begins to note changes, so that a rollback undoes them.
    void beginBlock();

    /// @brief Ends a transaction block: a rollback undoes all changes, a commit those of SET LOCAL.
    void endBlock(bool committed);

    /// @brief Gives all parameters their first values.
    void resetAll();

    /// @brief Gives the parameters whose changes clients are told of.
    [[nodiscard]] std::map<std::string, std::string> reported() const;

private:
    using Values = std::map<std::string, std::string>;

    [[nodiscard]] tl::expected<Change, pgwire::ErrorFields> set(std::string_view text);

    Values values;
    Values first;
    std::optional<Values> beforeBlock;
    Values locals; ///< Values before SET LOCAL.
};

}
