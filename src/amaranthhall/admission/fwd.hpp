#pragma once

namespace amaranthhall::admission {

struct Arrival;
struct QueueState;
struct Shed;

}
