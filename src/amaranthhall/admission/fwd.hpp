#pragma once

namespace amaranthhall::admission {

struct Arrival;
struct LaneState;
struct Shed;

}
