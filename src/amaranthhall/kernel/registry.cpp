#include "amaranthhall/kernel/registry.hpp"

#include <cstddef>

namespace amaranthhall::kernel {

Service* Registry::lookUp(std::string_view name) const noexcept
{
    for (const auto& service : this->services) {
        if (service->name() == name)
            return service.get();
    }
    return nullptr;
}

void Registry::start()
{
    for (const auto& service : this->services)
        service->start();
}

void Registry::drain(std::function<void()> done)
{
    auto left = std::make_shared<std::size_t>(this->services.size() + 1);
    const auto finish = [left, done = std::move(done)] {
        if (--*left == 0)
            done();
    };
    for (const auto& service : this->services)
        service->drain(finish);
    finish();
}

void Registry::stop()
{
    for (auto service = this->services.rbegin(); service != this->services.rend(); ++service)
        (*service)->stop();
}

}
