#pragma once

namespace amaranthhall::freshness {

class SampleWindow;
class StoreClock;
struct Sample;

}
