#pragma once

namespace amaranthhall::leadership {

class LeaderRecord;
struct LeaderProof;

}
