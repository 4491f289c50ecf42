#pragma once

#include "amaranthhall/kernel/observers.hpp"
#include "amaranthhall/membership/member.hpp"

#include <cstdint>
#include <span>

namespace amaranthhall::membership {

/// @brief Version of the member set; increases with each change.
using Epoch = std::uint64_t;

/// @brief Provides the current member set. Registered as service `members`.
class MemberSource {
public:
    virtual ~MemberSource() = default;

    /// @brief Returns this daemon's own entry.
    [[nodiscard]] virtual const Member& self() const noexcept = 0;

    /// @brief Returns all members that are not dead, including this daemon, ordered by id.
    [[nodiscard]] virtual std::span<const Member> members() const noexcept = 0;

    /// @brief Returns the epoch of the current member set.
    [[nodiscard]] virtual Epoch epoch() const noexcept = 0;

    /// @brief Registers a callback that is called when the member set or a state has changed.
    virtual void onChange(kernel::Observers::Callback callback) = 0;
};

}
