#pragma once

#include "amaranthhall/group/group_view.hpp"
#include "amaranthhall/kernel/observers.hpp"

#include <cstdint>

namespace amaranthhall::group {

/// @brief What the data path saw go wrong, or right, with an upstream.
enum class Symptom : std::uint8_t {
    Healthy,
    Refused, ///< The connection was refused or reset.
    TimedOut, ///< No answer within the time allowed.
    Superseded, ///< It says that it is not primary, or its term is fenced.
};

/// @brief Tells who is primary of each group. Registered as service `groups`.
class GroupSource {
public:
    virtual ~GroupSource() = default;

    /// @brief Gives the view of a group, or nullptr if the table has no such group.
    [[nodiscard]] virtual const GroupView* view(const GroupId& id) const noexcept = 0;

    /// @brief Takes in what the data path saw of an upstream.
    virtual void report(const UpstreamId& id, Symptom symptom) = 0;

    /// @brief Takes in a status that came along with other work.
    virtual void observe(const UpstreamId& id, const UpstreamStatus& status) = 0;

    /// @brief Adds an observer, called on each change of a view's primary, term or reach.
    virtual void onChange(kernel::Observers::Callback callback) = 0;
};

}
