#include "amaranthhall/catalog/organisation.hpp"

#include <utility>

namespace amaranthhall::catalog {

void Organisations::add(Organisation organisation)
{
    const auto index = static_cast<std::uint32_t>(this->organisations.size());
    if (this->indexByName.try_emplace(organisation.name, index).second)
        this->organisations.push_back(std::move(organisation));
}

void Organisations::addKey(std::string_view organisation, const hashing::KeyDigest& key)
{
    const auto found = this->indexByName.find(organisation);
    if (found != this->indexByName.end())
        this->indexByKey.try_emplace(key, found->second);
}

const Organisation* Organisations::findByKey(const hashing::KeyDigest& key) const noexcept
{
    const auto found = this->indexByKey.find(key);
    return found == this->indexByKey.end() ? nullptr : &this->organisations[found->second];
}

const Organisation* Organisations::find(std::string_view name) const noexcept
{
    const auto found = this->indexByName.find(name);
    return found == this->indexByName.end() ? nullptr : &this->organisations[found->second];
}

}
