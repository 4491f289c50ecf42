#pragma once

#include "amaranthhall/standin/group_log.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::standin {

/// @brief Message type of a feed and of its answer; no message of protocol 3.0 has it.
constexpr char feedFrameType = 'j';

/// @brief Startup code that opens a feed instead of a session.
constexpr std::int32_t feedStartupCode = 1234'0001;

[[nodiscard]] std::string encodeFeed(const Feed& feed);
[[nodiscard]] std::optional<Feed> decodeFeed(std::string_view text);
[[nodiscard]] std::string encodeAnswer(const FeedAnswer& answer);
[[nodiscard]] std::optional<FeedAnswer> decodeAnswer(std::string_view text);

}
