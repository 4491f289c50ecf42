#pragma once

#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/group/group_step.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/table/rows.hpp"

#include <map>
#include <memory>
#include <unordered_map>

namespace amaranthhall::upstream {

class GroupExchange;
class UpstreamProbe;
struct ControlAnswer;

/// @brief One group as this daemon follows it.
struct FollowedGroup {
    group::GroupState state;
    group::GroupView view;
    std::map<std::string, std::unique_ptr<UpstreamProbe>> probes; ///< By upstream; only while this daemon is a watcher.
    std::vector<table::UpstreamRow> rows;
    mutable Time usedAt; ///< When this daemon last had work for the group.
};

/// @brief Follows each group of the table: probes and fails over those that it watches, hears of the others from their watchers.
class GroupMonitor final : public kernel::Service, public group::GroupSource {
public:
    GroupMonitor(kernel::Loop& loop, kernel::Registry& registry, const kernel::Settings& settings);
    ~GroupMonitor() override;

    [[nodiscard]] std::string_view name() const noexcept override { return "groups"; }
    void start() override;
    void stop() override;
    [[nodiscard]] const group::GroupView* view(const group::GroupId& id) const noexcept override;
    void report(const group::UpstreamId& id, group::Symptom symptom) override;
    void observe(const group::UpstreamId& id, const group::UpstreamStatus& status) override;
    void onChange(kernel::Observers::Callback callback) override { this->observers.add(std::move(callback)); }

    /// @brief Lets a group's decisions take an event and carries out what they ask for.
    void apply(const group::GroupId& id, const group::GroupEvent& event);

    /// @brief Gives all followed groups.
    [[nodiscard]] const std::unordered_map<group::GroupId, FollowedGroup>& followed() const noexcept { return this->groups; }

private:
    void takeTable();
    void takeMembers();
    void assignWatchers(FollowedGroup& followed);
    void openProbes(FollowedGroup& followed);
    void tick();
    void takeAnswer(const group::GroupId& id, const std::string& upstream, const ControlAnswer& answer);
    void carryOut(FollowedGroup& followed, const group::GroupAction& action);
    void logAction(const FollowedGroup& followed, const group::GroupAction& action) const;

    kernel::Loop& loop;
    kernel::Registry& registry;
    std::string vm;
    kernel::UpstreamSettings settings;
    kernel::Observers observers;
    Random random;
    std::unordered_map<group::GroupId, FollowedGroup> groups;
    std::unique_ptr<GroupExchange> exchange;
    kernel::Registration ticker;
};

}
