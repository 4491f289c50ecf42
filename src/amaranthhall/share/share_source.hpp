#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/kernel/observers.hpp"

#include <cstdint>

namespace amaranthhall::share {

/// @brief A daemon's use of its share of an upstream's connections.
struct ShareUse {
    std::uint32_t open { 0 }; ///< Connections open or being opened.
    std::uint32_t busy { 0 }; ///< Those of `open` that are in use.
    std::uint32_t waiting { 0 }; ///< Statements that wait for a connection.
};

/// @brief Provides the number of connections that this daemon may hold to each upstream. Registered as service `shares`.
class ShareSource {
public:
    virtual ~ShareSource() = default;

    /**
     * @brief Returns the number of connections that may currently be open to an upstream.
     *
     * The number may decrease at any time. The pool then closes surplus connections, idle ones immediately
     * and those in use when they are released. Share counts as returned only when reportUse() reports it.
     */
    [[nodiscard]] virtual std::uint32_t allowance(const group::UpstreamId& id) const noexcept = 0;

    /// @brief Reports the current use of an upstream's connections. The pool calls it on each change.
    virtual void reportUse(const group::UpstreamId& id, const ShareUse& use) = 0;

    /// @brief Registers a callback that is invoked on each change of an allowance.
    virtual void onChange(kernel::Observers::Callback callback) = 0;
};

}
