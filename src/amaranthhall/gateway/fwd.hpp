#pragma once

namespace amaranthhall::gateway {

class Gateway;
struct GatewaySettings;

}
