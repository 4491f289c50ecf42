#pragma once

namespace amaranthhall::routing {

struct Candidate;
struct Decision;
struct Situation;
struct Work;

}
