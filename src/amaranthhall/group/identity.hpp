#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

namespace amaranthhall::group {

/// @brief Identifies a database group: one instance of a service.
struct GroupId {
    std::string service;
    std::string instance;

    friend auto operator<=>(const GroupId&, const GroupId&) = default;
};

/// @brief Identifies one upstream of a group.
struct UpstreamId {
    GroupId group;
    std::string name;

    friend auto operator<=>(const UpstreamId&, const UpstreamId&) = default;
};

/// @brief Formats a group as `service/instance`.
[[nodiscard]] inline std::string formatId(const GroupId& id)
{
    return id.service + "/" + id.instance;
}

/// @brief Formats an upstream as `service/instance/name`.
[[nodiscard]] inline std::string formatId(const UpstreamId& id)
{
    return formatId(id.group) + "/" + id.name;
}

namespace internal {

    /// @brief Combines a string's hash with a seed.
    [[nodiscard]] inline std::size_t mixHash(std::size_t seed, const std::string& text) noexcept
    {
        constexpr std::size_t goldenRatio = 0x9e3779b97f4a7c15ULL;
        return seed ^ (std::hash<std::string> {}(text) + goldenRatio + (seed << 6U) + (seed >> 2U));
    }

}

}

/// @brief Hashes a group's id for unordered containers.
template <>
struct std::hash<amaranthhall::group::GroupId> {
    std::size_t operator()(const amaranthhall::group::GroupId& id) const noexcept
    {
        return amaranthhall::group::internal::mixHash(std::hash<std::string> {}(id.service), id.instance);
    }
};

/// @brief Hashes an upstream's id for unordered containers.
template <>
struct std::hash<amaranthhall::group::UpstreamId> {
    std::size_t operator()(const amaranthhall::group::UpstreamId& id) const noexcept
    {
        return amaranthhall::group::internal::mixHash(std::hash<amaranthhall::group::GroupId> {}(id.group), id.name);
    }
};
