#pragma once

#include "amaranthhall/catalog/configuration.hpp"
#include "amaranthhall/catalog/upstream_entry.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhall::catalog {

/// @brief Defines the store tables of upstream registrations and configuration, and decodes their rows.
class RowReader {
public:
    RowReader() = default;
    RowReader(const RowReader&) = delete;
    RowReader& operator=(const RowReader&) = delete;
    virtual ~RowReader() = default;

    [[nodiscard]] virtual std::string upstreamTable() const = 0;
    [[nodiscard]] virtual std::string configurationTable() const = 0;
    [[nodiscard]] virtual std::string configurationKey() const = 0;

    /**
     * @brief Decodes an upstream's registration.
     * @param id Key of the row.
     * @return The entry, or a description of the error in the row.
     */
    [[nodiscard]] virtual tl::expected<UpstreamEntry, std::string> readUpstream(std::string_view id, std::string_view value) const = 0;

    /// @brief Decodes the operators' configuration.
    [[nodiscard]] virtual tl::expected<Configuration, std::string> readConfiguration(std::string_view value) const = 0;
};

}
