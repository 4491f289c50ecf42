#pragma once

#include "amaranthhall/group/group_view.hpp"
#include "amaranthhall/kernel/observers.hpp"

#include <cstdint>

namespace amaranthhall::group {

/// @brief What the data path or a probe observed on an upstream.
enum class Symptom : std::uint8_t {
    Healthy,
    Refused, ///< The connection was refused or reset.
    TimedOut, ///< No reply within the timeout.
    Superseded, ///< It reported that it is not primary, or that its term has been fenced.
};

/// @brief Provides the current view of each group, such as its primary and term. Registered as service `groups`.
class GroupSource {
public:
    virtual ~GroupSource() = default;

    /// @brief Returns the view of a group, or nullptr if the table has no such group.
    [[nodiscard]] virtual const GroupView* view(const GroupId& id) const noexcept = 0;

    /// @brief Reports what the data path observed on an upstream.
    virtual void report(const UpstreamId& id, Symptom symptom) = 0;

    /// @brief Reports a status that was piggybacked on another reply.
    virtual void observe(const UpstreamId& id, const UpstreamStatus& status) = 0;

    /// @brief Adds an observer, called whenever a view's primary, term or reachability changes.
    virtual void onChange(kernel::Observers::Callback callback) = 0;
};

}
