#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::pgwire {

/// @brief A field of an error or notice, such as `M` for the message (PostgreSQL documentation, "Error and Notice Message Fields").
struct ErrorField {
    char code { 0 };
    std::string text;
};

/// @brief Fields of an error or notice, in the order in which they were sent.
struct ErrorFields {
    std::vector<ErrorField> fields;

    /// @brief Returns the text of a field, or an empty view if it is missing.
    [[nodiscard]] std::string_view find(char code) const noexcept
    {
        for (const auto& field : this->fields) {
            if (field.code == code)
                return field.text;
        }
        return {};
    }

    [[nodiscard]] std::string_view sqlstate() const noexcept { return this->find('C'); }

    [[nodiscard]] std::string_view message() const noexcept { return this->find('M'); }
};

/// @brief Creates an error with severity, SQLSTATE and message.
[[nodiscard]] inline ErrorFields makeError(std::string_view severity, std::string_view sqlstate, std::string_view message)
{
    return { { { 'S', std::string(severity) }, { 'V', std::string(severity) }, { 'C', std::string(sqlstate) }, { 'M', std::string(message) } } };
}

}
