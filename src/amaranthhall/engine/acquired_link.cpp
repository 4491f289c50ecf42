#include "amaranthhall/engine/acquired_link.hpp"

#include <utility>

namespace amaranthhall::engine {

AcquiredLink::AcquiredLink(std::shared_ptr<UpstreamPool> usedPool, std::shared_ptr<PooledLink> usedLink) noexcept
    : pool(std::move(usedPool))
    , link(std::move(usedLink))
{
}

AcquiredLink& AcquiredLink::operator=(AcquiredLink&& other) noexcept
{
    if (this != &other) {
        this->reset();
        this->pool = std::move(other.pool);
        this->link = std::move(other.link);
    }
    return *this;
}

AcquiredLink::~AcquiredLink()
{
    this->reset();
}

void AcquiredLink::reset()
{
    if (const auto returned = std::exchange(this->link, nullptr))
        this->pool->release(returned);
}

void AcquiredLink::discard()
{
    if (const auto dropped = std::exchange(this->link, nullptr))
        this->pool->discard(dropped);
}

void AcquiredLink::discardStalled()
{
    this->pool->noteStall();
    this->discard();
}

}
