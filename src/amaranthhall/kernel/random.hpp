#pragma once

#include <random>

namespace amaranthhall {

/// @brief Source of randomness that is handed to decisions; tests seed it.
using Random = std::mt19937_64;

}
