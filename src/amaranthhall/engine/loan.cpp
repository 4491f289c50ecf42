#include "amaranthhall/engine/loan.hpp"

#include <utility>

namespace amaranthhall::engine {

Loan::Loan(std::shared_ptr<UpstreamPool> usedPool, std::shared_ptr<PooledLink> usedLink) noexcept
    : pool(std::move(usedPool))
    , link(std::move(usedLink))
{
}

Loan& Loan::operator=(Loan&& other) noexcept
{
    if (this != &other) {
        this->reset();
        this->pool = std::move(other.pool);
        this->link = std::move(other.link);
    }
    return *this;
}

Loan::~Loan()
{
    this->reset();
}

void Loan::reset()
{
    if (const auto returned = std::exchange(this->link, nullptr))
        this->pool->giveBack(returned);
}

void Loan::discard()
{
    if (const auto dropped = std::exchange(this->link, nullptr))
        this->pool->discard(dropped);
}

void Loan::discardStalled()
{
    this->pool->noteStall();
    this->discard();
}

}
