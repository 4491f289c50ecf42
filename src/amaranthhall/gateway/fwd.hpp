#pragma once

namespace amaranthhall::gateway {

class Gateway;
struct DrainDecision;
struct DrainState;
struct GatewaySettings;

}
