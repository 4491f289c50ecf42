#pragma once

#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/table/table_source.hpp"
#include "amaranthhall/upstream/control_runner.hpp"
#include "amaranthhall/upstream/group_dispatcher.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthhall::upstream {

/// @brief Routes work to upstreams, queues it while it must wait, and lends links of its pools.
class PooledDispatcher final : public kernel::Service, public Dispatcher, public ControlRunner {
public:
    PooledDispatcher(kernel::Loop& loop, kernel::Registry& registry, const kernel::Settings& settings);
    ~PooledDispatcher() override;

    [[nodiscard]] std::string_view name() const noexcept override { return "dispatch"; }
    void start() override;
    [[nodiscard]] std::unique_ptr<Ticket> request(const WorkRequest& work, Grant grant) override;
    void runControl(const group::UpstreamId& id, const std::string& query, Time deadline, ControlRunner::Done done) override;

private:
    using Work = GroupDispatcher::Work;

    void takeTable();
    void refreshLater();
    void takeArrivals();
    void route(const Work& work);
    void tick();
    void watchDeadlines();

    kernel::Loop& loop;
    kernel::Registry& registry;
    const kernel::Settings& settings;
    Random random;
    table::TableSource* table { nullptr };
    group::GroupSource* groups { nullptr };
    share::ShareSource* shares { nullptr };
    std::unique_ptr<DispatchMetrics> metrics;
    std::map<std::string, std::shared_ptr<ServiceQueue>, std::less<>> services;
    std::unordered_map<group::GroupId, std::unique_ptr<GroupDispatcher>> dispatchers;
    std::vector<Work> arrivals;
    kernel::Registration timer;
    bool isRefreshPosted { false };
};

}
