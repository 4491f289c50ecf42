#pragma once

namespace amaranthhall::gateway {

struct GatewaySettings;

}
