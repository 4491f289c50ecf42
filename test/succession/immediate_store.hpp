#pragma once

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/store/store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace amaranthhall::succession::testing {

/// Store that commits each transaction in the next loop iteration; its clock is the boot clock.
class ImmediateStore final : public store::Store {
public:
    explicit ImmediateStore(kernel::Loop& loop)
        : loop(loop)
    {
        const auto now = freshness::bootNow();
        this->storeClock.observe(now, now, now);
    }

    void read(const std::string&, const std::string&, const std::string&, RowsCallback) override { }
    void follow(const std::string&, store::Version, std::chrono::milliseconds, RowsCallback) override { }
    void commit(const store::Transaction& transaction, CommitCallback done) override
    {
        ++this->commits;
        this->lastPut = transaction.puts.front();
        this->lastCondition = transaction.conditions.front().version;
        if (this->error) {
            this->loop.post([error = *this->error, done = std::move(done)] { done(tl::unexpected(error)); });
            return;
        }
        const store::Version made { .era = this->newestEra, .number = ++this->version };
        this->loop.post([made, done = std::move(done)] { done(made); });
    }
    [[nodiscard]] store::Era era() const noexcept override { return this->newestEra; }
    [[nodiscard]] const freshness::StoreClock& clock() const noexcept override { return this->storeClock; }

    int commits { 0 };
    std::optional<store::StoreError> error; ///< Of all transactions.
    store::Row lastPut;
    store::Version lastCondition;
    store::Era newestEra { 0 };
    std::uint64_t version { 100 };

private:
    kernel::Loop& loop;
    freshness::StoreClock storeClock;
};

}
