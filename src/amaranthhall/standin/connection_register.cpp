#include "amaranthhall/standin/connection_register.hpp"

#include <algorithm>

namespace amaranthhall::standin {

namespace {

    constexpr std::uint32_t reservedConnections = 3; // as PostgreSQL's superuser_reserved_connections

    bool isControl(std::string_view application)
    {
        return application.starts_with("amaranthhall-control");
    }

    bool isWork(std::string_view application)
    {
        return application.starts_with("amaranthhall") && !isControl(application);
    }

    void addOne(ConnectionCount& count)
    {
        ++count.open;
        count.most = std::max(count.most, count.open);
    }

}

ConnectionRegister::ConnectionRegister(std::uint32_t usedLimit) noexcept
    : limit(usedLimit)
{
}

bool ConnectionRegister::take(const std::string& application)
{
    const auto allowed = this->limit + (isControl(application) ? reservedConnections : 0);
    if (this->total >= allowed)
        return false;
    ++this->total;
    addOne(this->byName[application]);
    if (isWork(application))
        addOne(this->work);
    return true;
}

void ConnectionRegister::giveBack(const std::string& application)
{
    --this->total;
    --this->byName[application].open;
    if (isWork(application))
        --this->work.open;
}

ConnectionCount ConnectionRegister::count(const std::string& application) const
{
    if (application.empty())
        return this->work;
    const auto found = this->byName.find(application);
    return found == this->byName.end() ? ConnectionCount {} : found->second;
}

}
