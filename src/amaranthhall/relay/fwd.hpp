#pragma once

namespace amaranthhall::relay {

class HomeRouter;
class RelayClient;
class RelayServer;

}
