#pragma once

#include "amaranthhall/kernel/fwd.hpp"

namespace amaranthhall::admin {

class AdminServer;

/**
 * @brief Serves `/v1/groups`, `/v1/members` and `/v1/shares`: what this daemon believes.
 *
 * Each is answered from the service of that name; without it, the answer is 404.
 */
void routeViews(AdminServer& admin, const kernel::Registry& registry);

}
