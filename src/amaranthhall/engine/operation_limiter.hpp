#pragma once

#include "amaranthhall/catalog/organisation.hpp"

#include <functional>
#include <string_view>

namespace amaranthhall::engine {

/// @brief A statement outside a transaction, or a transaction, that is about to be sent to an upstream.
struct Operation {
    std::string_view organisation;
    catalog::OperationLimit limit;
    bool isUrgent { false }; ///< Goes first when the organisation is near its limit.
};

/// @brief Limits the operations of organisations over all daemons together.
class OperationLimiter {
public:
    /// @brief Called once: whether the operation may run.
    using Done = std::function<void(bool isAdmitted)>;

    OperationLimiter() = default;
    OperationLimiter(const OperationLimiter&) = delete;
    OperationLimiter& operator=(const OperationLimiter&) = delete;
    virtual ~OperationLimiter() = default;

    /// @brief Counts an operation and decides whether it may run; `done` is called within the call or later.
    virtual void admit(const Operation& operation, Done done) = 0;
};

}
