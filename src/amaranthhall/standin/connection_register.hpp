#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace amaranthhall::standin {

/// @brief Open connections and their maximum since the start.
struct ConnectionCount {
    std::uint32_t open { 0 };
    std::uint32_t most { 0 };
};

/// @brief Counts connections by application name and keeps to the connection limit.
class ConnectionRegister {
public:
    explicit ConnectionRegister(std::uint32_t limit) noexcept;

    /// @brief Takes a connection, unless the limit is reached; connections for control have a reserve beyond it.
    [[nodiscard]] bool take(const std::string& application);

    /// @brief Gives a connection back.
    void giveBack(const std::string& application);

    /// @brief Counts the connections of an application name; an empty name counts all daemons' connections for work.
    [[nodiscard]] ConnectionCount count(const std::string& application) const;

private:
    std::uint32_t limit;
    std::uint32_t total { 0 };
    ConnectionCount work;
    std::map<std::string, ConnectionCount> byName;
};

}
