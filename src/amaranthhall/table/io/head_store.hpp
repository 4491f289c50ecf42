#pragma once

#include "amaranthhall/platform/platform.hpp"
#include "amaranthhall/table/edit.hpp"

#include <functional>
#include <optional>

namespace amaranthhall::table {

/// @brief The head row as it was read.
struct StoredHead {
    Head head;
    StageNumber rowVersion { 0 };
};

/// @brief One version in the object store, with where it came from.
struct StoredImage {
    TableImage image;
    std::string previous; ///< Digest of the version before.
    std::string editId;
    std::string editor; ///< VM of the daemon that ran the edit.
    std::string at; ///< UTC.
};

/// @brief The table in the platform: the head row, a row for each committed edit, an object for each version.
class HeadStore {
public:
    explicit HeadStore(platform::Platform& usedPlatform)
        : platform(usedPlatform)
    {
    }

    /// @brief Reads the head row; gives nothing if the store did not answer.
    void readHead(std::function<void(std::optional<StoredHead>)> done);

    /// @brief Tells which version an edit got; the outer optional is empty if the store did not answer.
    void readCommitted(std::string_view editId, std::function<void(std::optional<std::optional<Version>>)> done);

    /// @brief Reads the platform's list of VMs; gives nothing if it did not answer.
    void listVms(std::function<void(std::optional<std::vector<platform::VmEntry>>)> done);

    /// @brief Writes the head row, and the edit's row if it is a commit.
    void writeHead(const WriteHead& action, std::string_view editId, std::function<void(HeadWritten)> done);

    /// @brief Reads the rows of a version by digest; gives nothing if they cannot be had.
    void readImage(std::string_view digest, std::function<void(std::optional<StoredImage>)> done);

    /// @brief Stores the rows of a version under their digest; done too if they are there.
    void storeImage(const StoredImage& stored, std::function<void(StoreAnswer)> done);

private:
    platform::Platform& platform;
};

}
