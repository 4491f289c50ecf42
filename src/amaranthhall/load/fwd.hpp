#pragma once

namespace amaranthhall::load {

struct UpstreamLoad;
struct LoadEstimate;
class FleetLoad;

}
