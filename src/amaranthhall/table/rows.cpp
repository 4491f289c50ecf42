#include "amaranthhall/table/rows.hpp"

#include <algorithm>

namespace amaranthhall::table {

const ServiceRow* findService(const TableImage& image, std::string_view name) noexcept
{
    const auto found = std::find_if(image.services.begin(), image.services.end(), [&](const auto& row) { return row.name == name; });
    return found == image.services.end() ? nullptr : &*found;
}

const UpstreamRow* findUpstream(const TableImage& image, const group::UpstreamId& id) noexcept
{
    const auto found = std::find_if(image.upstreams.begin(), image.upstreams.end(), [&](const auto& row) { return row.id == id; });
    return found == image.upstreams.end() ? nullptr : &*found;
}

std::vector<group::GroupId> listGroups(const TableImage& image)
{
    std::vector<group::GroupId> groups;
    for (const auto& row : image.upstreams)
        groups.push_back(row.id.group);
    std::sort(groups.begin(), groups.end());
    groups.erase(std::unique(groups.begin(), groups.end()), groups.end());
    return groups;
}

}
