#pragma once

namespace amaranthhall::rig {

class Cluster;
class Process;
struct ClusterOptions;

}
