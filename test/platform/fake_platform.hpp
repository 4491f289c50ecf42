#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/platform/platform.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace amaranthhall::platform::test {

/// @brief What all daemons of a test see of the platform.
struct FakeStore {
    std::map<std::string, Row, std::less<>> rows;
    std::vector<VmEntry> vms;
    bool down { false };
};

/// @brief A platform in memory.
class FakePlatform final : public kernel::Service, public Platform {
public:
    FakePlatform(kernel::Loop& loop, FakeStore& store)
        : loop(loop)
        , store(store)
    {
    }

    [[nodiscard]] std::string_view name() const noexcept override { return "platform"; }

    void readRow(std::string_view key, std::function<void(PlatformResult<Row>)> done) override
    {
        const auto found = this->store.rows.find(key);
        this->answer<Row>(found == this->store.rows.end() ? Row { .key = std::string(key) } : found->second, std::move(done));
    }

    void readRows(std::string_view, std::function<void(PlatformResult<std::vector<Row>>)> done) override { this->answer<std::vector<Row>>({}, std::move(done)); }

    void commit(const Transaction& transaction, std::function<void(PlatformResult<std::vector<Row>>)> done) override
    {
        bool holds = !this->store.down;
        for (const auto& condition : transaction.conditions)
            holds = holds && this->store.rows[condition.key].version == condition.version;
        if (!holds) {
            this->loop.post([done = std::move(done)] { done(tl::unexpected(PlatformError::Conflict)); });
            return;
        }
        std::vector<Row> written;
        for (const auto& put : transaction.puts) {
            auto& row = this->store.rows[put.key];
            row = { .key = put.key, .version = row.version + 1, .value = put.value };
            written.push_back(row);
        }
        this->answer<std::vector<Row>>(std::move(written), std::move(done));
    }

    void readObject(std::string_view, std::function<void(PlatformResult<Object>)> done) override { this->answer<Object>({}, std::move(done)); }
    void writeObject(std::string_view, std::string, std::string_view, std::function<void(PlatformResult<std::string>)> done) override { this->answer<std::string>({}, std::move(done)); }
    void listVms(std::function<void(PlatformResult<std::vector<VmEntry>>)> done) override { this->answer<std::vector<VmEntry>>(this->store.vms, std::move(done)); }

private:
    template <typename Type>
    void answer(Type value, std::function<void(PlatformResult<Type>)> done)
    {
        this->loop.post([isDown = this->store.down, value = std::move(value), done = std::move(done)] {
            if (isDown)
                done(tl::unexpected(PlatformError::Unavailable));
            else
                done(value);
        });
    }

    kernel::Loop& loop;
    FakeStore& store;
};

}
