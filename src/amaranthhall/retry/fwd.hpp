#pragma once

namespace amaranthhall::retry {

struct Budget;
struct Outcome;

}
