#pragma once

#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/table/io/edit_runner.hpp"
#include "amaranthhall/table/table_source.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

namespace amaranthhall::table {

/// @brief The operators' table on this daemon, kept with the store and with the other daemons. Registered as service `table`.
class TableService final : public kernel::Service, public TableSource {
public:
    TableService(kernel::Loop& loop, kernel::Registry& registry, kernel::VmSettings vm);

    [[nodiscard]] std::string_view name() const noexcept override { return "table"; }
    void start() override;
    void stop() override;

    [[nodiscard]] const TableImage& image() const noexcept override { return this->context.replica.inForce; }
    [[nodiscard]] bool mayTakeWork(std::string_view service) const noexcept override;
    void onChange(kernel::Observers::Callback callback) override { this->observers.add(std::move(callback)); }

    /// @brief Gives why new work is refused, or an empty text.
    [[nodiscard]] std::string refusal() const;

    [[nodiscard]] const Replica& replica() const noexcept { return this->context.replica; }
    [[nodiscard]] EditRunner& editor() noexcept { return *this->runner; }
    [[nodiscard]] HeadStore& headStore() noexcept { return *this->store; }
    [[nodiscard]] Time now() const noexcept { return this->context.loop.now(); }

private:
    void servePeers();
    void noteChange();

    kernel::Registry& registry;
    TableContext context;
    std::unique_ptr<HeadStore> store;
    std::unique_ptr<Refresher> refresher;
    std::unique_ptr<EditRunner> runner;
    kernel::Observers observers;
    kernel::Registration watch;
    Version notifiedVersion { 0 };
    std::string notifiedRefusal;
    telemetry::Metrics* metrics { nullptr };
};

}
