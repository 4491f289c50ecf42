#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/kernel/address.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace amaranthhall::table {

/// @brief Number of a table's version; 0 is the empty table before the first edit.
using Version = std::uint64_t;

/// @brief When a write's success is told to the caller.
enum class Acknowledge : std::uint8_t {
    Confirmed, ///< Once a second upstream has confirmed the write's position in its term.
    Term, ///< Once a majority has said that the term is still current; an unreplicated tail may be lost.
};

/// @brief One row of the operators' table: a service.
struct ServiceRow {
    std::string name; ///< Callers name it as their database.
    std::string database; ///< Name of the database on the upstreams.
    std::chrono::milliseconds maxStale { 0 }; ///< Age that a read may have; 0 asks for read-your-writes.
    Acknowledge acknowledge { Acknowledge::Confirmed };
    std::chrono::milliseconds statementDeadline { 5000 }; ///< From receipt to the last byte of the answer.
    std::chrono::milliseconds queueDeadline { 2000 }; ///< Longest wait for a connection.
    std::uint32_t queueLimit { 1000 }; ///< Statements that may wait per daemon.
    std::uint32_t callerLimit { 4000 }; ///< Caller connections per daemon.
    std::vector<std::string> safeFunctions; ///< Functions that a replica may run.

    friend bool operator==(const ServiceRow&, const ServiceRow&) = default;
};

/// @brief One row of the operators' table: an upstream.
struct UpstreamRow {
    group::UpstreamId id;
    kernel::Address address;
    std::string zone;
    std::uint32_t weight { 100 }; ///< Share of the reads among replicas; 0 gives it none.
    std::uint32_t connectionLimit { 30 }; ///< Connections that all daemons together may hold.
    std::uint32_t slots { 2 }; ///< Replicas that may follow it when it is primary.

    friend bool operator==(const UpstreamRow&, const UpstreamRow&) = default;
};

/// @brief The operators' table at one version.
struct TableImage {
    Version version { 0 };
    std::vector<ServiceRow> services;
    std::vector<UpstreamRow> upstreams;

    friend bool operator==(const TableImage&, const TableImage&) = default;
};

/// @brief Finds a service's row by name; gives nullptr if there is none.
[[nodiscard]] const ServiceRow* findService(const TableImage& image, std::string_view name) noexcept;

/// @brief Finds an upstream's row; gives nullptr if there is none.
[[nodiscard]] const UpstreamRow* findUpstream(const TableImage& image, const group::UpstreamId& id) noexcept;

/// @brief Lists the groups that the upstream rows make up, each once, in order.
[[nodiscard]] std::vector<group::GroupId> listGroups(const TableImage& image);

}
