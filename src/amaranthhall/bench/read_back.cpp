#include "amaranthhall/bench/read_back.hpp"

#include "amaranthhall/rig/caller.hpp"
#include "amaranthhall/rig/http_call.hpp"

#include <sstream>
#include <stdexcept>

namespace amaranthhall::bench {

namespace {

    constexpr auto grantsMetric = "amaranthhall_dispatch_grants_total";

    StoredRow toStoredRow(const std::vector<std::string>& values)
    {
        return {
            .id = values.at(0),
            .caller = static_cast<std::size_t>(std::stoull(values.at(1))),
            .sequence = std::stoull(values.at(2)),
            .part = static_cast<std::uint32_t>(std::stoul(values.at(3))),
        };
    }

    struct Grants {
        double replica { 0 };
        double primary { 0 };
    };

    void addGrants(const std::string& metrics, Grants& grants)
    {
        std::istringstream lines(metrics);
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.starts_with(grantsMetric) || line.find("read") == std::string::npos)
                continue;
            const auto value = std::stod(line.substr(line.rfind(' ')));
            (line.find("replica") != std::string::npos ? grants.replica : grants.primary) += value;
        }
    }

}

std::vector<StoredRow> readRows(rig::Cluster& cluster)
{
    std::vector<StoredRow> rows;
    for (std::size_t i = 1; i <= cluster.settings().instances; ++i) {
        rig::Caller caller(cluster.primaryOf(i).realPort, "control");
        const auto answer = caller.run("SELECT id, caller, seq, part FROM entries");
        if (!answer.succeeded)
            throw std::runtime_error("instance " + std::to_string(i) + " cannot be read back: " + answer.message);
        for (const auto& values : answer.rows)
            rows.push_back(toStoredRow(values));
    }
    return rows;
}

std::vector<ConnectionUse> readConnections(rig::Cluster& cluster)
{
    std::vector<ConnectionUse> uses;
    for (auto& node : cluster.upstreams()) {
        if (!node.process->isRunning())
            continue;
        rig::Caller caller(node.realPort, "control");
        const auto answer = caller.run("SELECT open, most FROM standin_connections()");
        if (answer.succeeded && !answer.rows.empty())
            uses.push_back({ .upstream = group::formatId(node.row.id), .most = static_cast<std::uint32_t>(std::stoul(answer.rows[0].at(1))), .limit = node.row.connectionLimit });
    }
    return uses;
}

std::optional<double> readReplicaShare(rig::Cluster& cluster)
{
    Grants grants;
    for (auto& node : cluster.daemons()) {
        if (node.adminPort == 0 || !node.process->isRunning())
            continue;
        if (const auto answer = rig::callHttp(node.adminPort, { .path = "/metrics" }))
            addGrants(answer->body, grants);
    }
    if (grants.replica + grants.primary == 0)
        return std::nullopt;
    return grants.replica / (grants.replica + grants.primary);
}

}
