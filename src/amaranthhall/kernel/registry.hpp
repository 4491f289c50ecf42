#pragma once

#include "amaranthhall/kernel/service.hpp"

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::kernel {

/// @brief The micro-kernel: owns the services and finds them by name.
class Registry {
public:
    /**
     * @brief Takes over a service.
     * @return The service, owned by the registry.
     */
    template <typename Type>
    Type& add(std::unique_ptr<Type> service)
    {
        auto& added = *service;
        this->services.push_back(std::move(service));
        return added;
    }

    /**
     * @brief Finds a service by name.
     * @return The service; throws std::logic_error if no service of this name and type is registered.
     */
    template <typename Type>
    [[nodiscard]] Type& find(std::string_view name) const
    {
        if (auto* found = dynamic_cast<Type*>(this->lookUp(name)))
            return *found;
        throw std::logic_error("no such service: " + std::string(name));
    }

    /// @brief Finds a service by name; gives nullptr if no service of this name and type is registered.
    template <typename Type>
    [[nodiscard]] Type* findOptional(std::string_view name) const noexcept
    {
        return dynamic_cast<Type*>(this->lookUp(name));
    }

    /// @brief Starts the services in the order in which they were added.
    void start();

    /**
     * @brief Drains all services side by side.
     * @param done Called once, when each has drained.
     */
    void drain(std::function<void()> done);

    /// @brief Stops the services, the last added first.
    void stop();

private:
    [[nodiscard]] Service* lookUp(std::string_view name) const noexcept;

    std::vector<std::unique_ptr<Service>> services;
};

}
