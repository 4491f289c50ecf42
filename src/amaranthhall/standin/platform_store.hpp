#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace amaranthhall::standin {

/// @brief What the platform answers.
struct PlatformAnswer {
    int status { 200 };
    nlohmann::json body;
};

/// @brief Limits of the emulated platform.
struct PlatformLimits {
    std::uint32_t writesPerSecond { 400 };
    std::uint32_t readsPerSecond { 2000 };
};

/// @brief Counts of requests, for tests to read.
struct PlatformStats {
    std::uint64_t reads { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t throttled { 0 };
    std::uint64_t lost { 0 };
};

/// @brief Content of the emulated platform: rows, objects and VMs. Time is handed in.
class PlatformStore {
public:
    explicit PlatformStore(PlatformLimits usedLimits)
        : limits(usedLimits)
    {
    }

    /// @brief Counts a read; tells whether it is within the rate limit.
    [[nodiscard]] bool admitRead(Time now);

    /// @brief Counts a write; tells whether it is within the rate limit.
    [[nodiscard]] bool admitWrite(Time now);

    /// @brief Runs a transaction; a repeated request id gets the first answer.
    [[nodiscard]] PlatformAnswer transact(const nlohmann::json& request);

    [[nodiscard]] nlohmann::json readRow(const std::string& key) const;
    [[nodiscard]] nlohmann::json readRows(std::string_view prefix) const;

    /// @brief Reads an object; the answer's body has `etag` and `body`.
    [[nodiscard]] PlatformAnswer readObject(const std::string& name) const;

    /// @brief Writes an object if its tag is `ifMatch`, or, with an empty one, if it does not exist yet.
    [[nodiscard]] PlatformAnswer writeObject(const std::string& name, std::string body, std::string_view ifMatch);

    /// @brief Adds or changes a VM.
    void putVm(const nlohmann::json& vm, Time now);

    void removeVm(const std::string& id, Time now);

    /// @brief Lists the VMs as they were a lag ago.
    [[nodiscard]] nlohmann::json listVms(Time now, Duration lag) const;

    [[nodiscard]] PlatformStats& stats() noexcept { return this->counts; }

private:
    using VmMap = std::map<std::string, nlohmann::json>;

    struct StoredRow {
        std::uint64_t version { 0 };
        std::string value;
    };

    struct StoredObject {
        std::uint64_t generation { 0 };
        std::string body;
    };

    struct Window {
        Time start;
        std::uint32_t count { 0 };
    };

    [[nodiscard]] static bool admit(Window& window, std::uint32_t limit, Time now);
    [[nodiscard]] PlatformAnswer apply(const nlohmann::json& request);
    void remember(const std::string& requestId, const PlatformAnswer& answer);

    PlatformLimits limits;
    PlatformStats counts;
    Window reads;
    Window writes;
    std::map<std::string, StoredRow> rows;
    std::map<std::string, StoredObject> objects;
    std::map<std::string, PlatformAnswer> answers;
    std::deque<std::string> answerOrder;
    VmMap vms;
    std::deque<std::pair<Time, VmMap>> vmHistory;
};

}
