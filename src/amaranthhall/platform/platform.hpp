#pragma once

#include "amaranthhall/kernel/address.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace amaranthhall::platform {

/// @brief Why a request to the platform gave no result.
enum class PlatformError : std::uint8_t {
    Unavailable, ///< Not reached, or it answered that it is down; nothing took effect.
    Throttled, ///< Over its rate limit; nothing took effect.
    Unknown, ///< No answer came; it may have taken effect. Ask again with the same request id.
    NotFound,
    Conflict, ///< A condition did not hold; nothing took effect.
    Malformed, ///< The answer could not be read.
};

/// @brief One row of the table service; its version is 0 while it does not exist.
struct Row {
    std::string key;
    std::uint64_t version { 0 };
    std::string value;
};

/// @brief Demands that a row is at a version when a transaction commits.
struct Condition {
    std::string key;
    std::uint64_t version { 0 };
};

/// @brief A value to write; the platform gives the row its next version.
struct Put {
    std::string key;
    std::string value;
};

/// @brief Writes that the table service takes whole or not at all.
struct Transaction {
    std::string requestId; ///< A repeat with the same id gets the first answer and has no further effect.
    std::vector<Condition> conditions;
    std::vector<Put> puts;
};

/// @brief An object of the object store with its entity tag.
struct Object {
    std::string etag;
    std::string body;
};

/// @brief One VM of the platform's list, which lags behind.
struct VmEntry {
    std::string id;
    std::string region;
    std::string zone;
    bool leaving { false };
    kernel::Address peer;
    kernel::Address admin;
};

/// @brief Outcome of a request to the platform.
template <typename Type>
using PlatformResult = tl::expected<Type, PlatformError>;

/// @brief Table service, object store and list of VMs. Registered as service `platform`. Callbacks never run from within a call.
class Platform {
public:
    virtual ~Platform() = default;

    /// @brief Reads one row; a row that does not exist comes with version 0.
    virtual void readRow(std::string_view key, std::function<void(PlatformResult<Row>)> done) = 0;

    /// @brief Reads all rows whose key begins with a prefix, in order.
    virtual void readRows(std::string_view prefix, std::function<void(PlatformResult<std::vector<Row>>)> done) = 0;

    /// @brief Commits a transaction; gives the rows as written.
    virtual void commit(const Transaction& transaction, std::function<void(PlatformResult<std::vector<Row>>)> done) = 0;

    /// @brief Reads an object.
    virtual void readObject(std::string_view name, std::function<void(PlatformResult<Object>)> done) = 0;

    /**
     * @brief Writes an object.
     * @param expectedEtag Tag that the object must have; empty if it must not exist yet.
     * @param done Gets the new tag.
     */
    virtual void writeObject(std::string_view name, std::string body, std::string_view expectedEtag, std::function<void(PlatformResult<std::string>)> done) = 0;

    /// @brief Reads the list of VMs.
    virtual void listVms(std::function<void(PlatformResult<std::vector<VmEntry>>)> done) = 0;
};

}
