#include "amaranthhall/upstream/group_view_builder.hpp"

#include <algorithm>

namespace amaranthhall::upstream {

group::GroupView makeView(const group::GroupState& state, std::span<const table::UpstreamRow> rows)
{
    group::GroupView view { .term = state.term, .primary = state.primary };
    for (const auto& row : rows) {
        view.id = row.id.group;
        group::UpstreamView upstream { .id = row.id, .address = row.address, .zone = row.zone };
        const auto watch = std::ranges::find(state.upstreams, row.id.name, &group::UpstreamObservation::name);
        if (watch != state.upstreams.end()) {
            upstream.status = watch->status;
            upstream.reachability = watch->reachability;
            upstream.statusReceivedAt = watch->lastReplyAt.value_or(Time {});
            upstream.freshAsOf = group::freshAsOf(state.freshnessHistory, watch->status.term, watch->status.applied).value_or(Time {});
        }
        view.upstreams.push_back(std::move(upstream));
    }
    return view;
}

}
