#pragma once

namespace amaranthhall::bench {

class History;
class LoadCaller;
class LoadGenerator;
struct ExperimentOptions;
struct HarmCounts;
struct Profile;
struct RunResult;

}
