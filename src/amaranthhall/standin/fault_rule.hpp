#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::standin {

/// @brief What happens to the bytes of one direction.
struct DirectionFault {
    std::chrono::milliseconds delay { 0 };
    std::chrono::milliseconds jitter { 0 }; ///< Added to the delay, evenly spread; so connections overtake each other.
    bool hold { false }; ///< Bytes are kept until a later rule releases them.
    bool drop { false }; ///< Bytes vanish while the connection stays open.
    std::optional<std::uint64_t> cutAfter; ///< The connection is cut once this many bytes have passed.
};

/// @brief A rule for the connections of a route; a later rule for the same route and match replaces it.
struct FaultRule {
    std::string route; ///< Name of the route; empty for all.
    std::string match; ///< Text that a connection's first bytes must hold; empty for all connections.
    bool cut { false }; ///< Open connections are closed, and new ones too.
    DirectionFault toTarget;
    DirectionFault toSource;
};

/// @brief Reads a rule from JSON; gives nothing if the text is malformed.
[[nodiscard]] std::optional<FaultRule> decodeRule(std::string_view json);

/// @brief Writes a rule as the JSON that decodeRule() reads.
[[nodiscard]] std::string encodeRule(const FaultRule& rule);

}
