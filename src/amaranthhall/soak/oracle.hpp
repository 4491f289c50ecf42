#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::soak {

/// @brief What a caller knows of a write of its own.
enum class Fate : std::uint8_t {
    Unknown, ///< No answer, or one that promises nothing.
    Acknowledged,
    Refused, ///< The answer promises that nothing is kept.
};

/// @brief A commit of a group: which data it wrote, and whether a promotion dropped it.
struct CommittedWrite {
    std::string item;
    std::string data; ///< Unique.
    bool isRolledBack { false };
};

/// @brief A read and what it must show.
struct ObservedRead {
    std::string group;
    std::string item;
    std::string data;
    Time startedAt;
    Duration allowance { 0 }; ///< Acknowledgements that are younger than this need not show.
    std::string session; ///< Its own writes must show whatever the allowance; empty for none.
};

/// @brief Compares what callers were told with what the upstreams hold.
class Oracle {
public:
    /// @brief Takes in a write's fate.
    void noteWrite(const std::string& group, const std::string& session, const std::string& item, const std::string& data, Fate fate, Time at);

    /// @brief Checks a read against the group's commits so far; gives what is wrong with it, if anything.
    [[nodiscard]] std::optional<std::string> checkRead(const ObservedRead& read, const std::vector<CommittedWrite>& commits) const;

    /// @brief Checks all writes of a group in the end; gives what is wrong.
    [[nodiscard]] std::vector<std::string> checkWrites(const std::string& group, const std::vector<CommittedWrite>& commits) const;

    /// @brief Checks that no promotion has dropped an acknowledged write of a group with synchronous replicas; gives what is wrong.
    [[nodiscard]] std::vector<std::string> checkKept(const std::string& group, const std::vector<CommittedWrite>& commits) const;

private:
    struct Write {
        std::string group;
        std::string session;
        std::string item;
        Fate fate { Fate::Unknown };
        Time at;
    };

    std::map<std::string, Write> writes; ///< By data.
};

}
