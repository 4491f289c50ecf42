#pragma once

namespace amaranthhall::ctl {

class DaemonClient;
enum class ExitCode : int;

}
