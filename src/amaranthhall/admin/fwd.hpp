#pragma once

namespace amaranthhall::admin {

class AdminServer;

}
