#pragma once

#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/table/table_source.hpp"

namespace amaranthhall::table {

/// @brief A table that never changes.
class StaticTable final : public kernel::Service, public TableSource {
public:
    explicit StaticTable(TableImage content)
        : content(std::move(content))
    {
    }

    [[nodiscard]] std::string_view name() const noexcept override { return "table"; }
    [[nodiscard]] const TableImage& image() const noexcept override { return this->content; }
    [[nodiscard]] bool mayTakeWork(std::string_view) const noexcept override { return true; }
    void onChange(kernel::Observers::Callback) override { }

private:
    TableImage content;
};

}
