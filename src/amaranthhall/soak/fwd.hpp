#pragma once

namespace amaranthhall::soak {

class Oracle;
class SoakCaller;
class SoakRun;

}
