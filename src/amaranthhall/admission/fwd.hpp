#pragma once

namespace amaranthhall::admission {

struct Arrival;
struct QueueState;
struct Shed;
struct WaitingStatement;
class WaitQueue;

}
