#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/group/upstream_status.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <functional>
#include <optional>
#include <string>

namespace amaranthhall::upstream {

/// @brief Runs control queries on borrowed links, ahead of callers' work. Registered as service `dispatch`.
class ControlRunner {
public:
    /// @brief Gets the upstream's status after the query, or nothing if there was no answer in time.
    using Done = std::function<void(const std::optional<group::UpstreamStatus>&)>;

    virtual ~ControlRunner() = default;

    /**
     * @brief Asks an upstream for its status.
     * @param query A control query to run before, such as a wait; empty for none.
     * @param deadline When to give up; the link is closed then.
     * @param done Called once, never from within runControl().
     */
    virtual void runControl(const group::UpstreamId& id, const std::string& query, Time deadline, Done done) = 0;
};

}
