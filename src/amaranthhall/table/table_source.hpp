#pragma once

#include "amaranthhall/kernel/observers.hpp"
#include "amaranthhall/table/rows.hpp"

#include <string_view>

namespace amaranthhall::table {

/// @brief Gives the table in force. Registered as service `table`.
class TableSource {
public:
    virtual ~TableSource() = default;

    /// @brief Gives the table in force on this daemon; the reference holds until the next change.
    [[nodiscard]] virtual const TableImage& image() const noexcept = 0;

    /// @brief Tells whether new work of a service may be taken: false while a staged edit's fate is unknown, or while cut off.
    [[nodiscard]] virtual bool mayTakeWork(std::string_view service) const noexcept = 0;

    /// @brief Adds an observer, called after each change of the image and of mayTakeWork().
    virtual void onChange(kernel::Observers::Callback callback) = 0;
};

}
