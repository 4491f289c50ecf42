#pragma once

#include "amaranthhall/table/io/table_service.hpp"

namespace amaranthhall::admin {

class AdminServer;

}

namespace amaranthhall::table {

/// @brief Serves `/v1/table`, `/v1/table/edit` and `/v1/table/history`, and adds the table to status and readiness.
void routeTable(admin::AdminServer& admin, TableService& service);

}
