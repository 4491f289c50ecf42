#include "amaranthhall/kernel/nearest_name.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <numeric>
#include <vector>

namespace amaranthhall::kernel {

namespace {

    // Levenshtein distance, one row of the table at a time.
    std::size_t editDistance(std::string_view left, std::string_view right)
    {
        std::vector<std::size_t> row(right.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 0; i < left.size(); ++i) {
            auto diagonal = row[0];
            row[0] = i + 1;
            for (std::size_t j = 0; j < right.size(); ++j) {
                const auto replaced = diagonal + (left[i] == right[j] ? 0U : 1U);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
            }
        }
        return row.back();
    }

}

std::string_view nearestName(std::string_view name, std::span<const std::string_view> known)
{
    std::string_view nearest;
    auto least = std::numeric_limits<std::size_t>::max();
    for (const auto candidate : known) {
        const auto distance = editDistance(name, candidate);
        if (distance < least) {
            least = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

}
