#pragma once

#include "amaranthhall/bench/history.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/upstream/pq_link.hpp"
#include "amaranthhall/upstream/quiet_sink.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::bench {

/// @brief What a caller is asked to do.
enum class OperationKind : std::uint8_t {
    Write,
    KeyedWrite,
    Transaction,
    OwnRead,
    StaleRead,
};

/// @brief One arrival of the load.
struct Operation {
    OperationKind kind { OperationKind::OwnRead };
    Time arrived;
    bool roams { false }; ///< Afterwards the caller moves to another daemon.
};

/// @brief Who a caller is and where it connects.
struct CallerOptions {
    std::size_t number { 0 };
    std::size_t instance { 1 };
    std::string database;
    std::function<kernel::Address()> chooseDaemon; ///< Gives the address of a daemon to connect to.
    History* history { nullptr };
};

/// @brief One caller that runs its operations one after the other and keeps what it was told.
class LoadCaller final : private upstream::internal::QuietSink {
public:
    LoadCaller(kernel::Loop& loop, CallerOptions options);
    ~LoadCaller() override;
    LoadCaller(const LoadCaller&) = delete;
    LoadCaller& operator=(const LoadCaller&) = delete;

    /// @brief Adds an operation to the caller's queue.
    void add(const Operation& operation);

    /// @brief Tells whether nothing is left to do.
    [[nodiscard]] bool isIdle() const noexcept { return this->queue.empty(); }

    /// @brief Tells what the caller waits for, for a report; empty if it is idle.
    [[nodiscard]] std::string describeWait() const;

private:
    void proceed();
    void connect();
    void onOpened(const pgwire::ErrorFields& error);
    void disconnect();
    void runFront();
    void runWrite(const Operation& operation);
    void runRead(const Operation& operation);
    void finishWrite(Told told);
    void finishRead(bool succeeded);
    void finishFront();
    [[nodiscard]] std::uint64_t sequenceBefore(Time moment) const;

    void onRow(std::size_t query, std::span<const pgwire::Value> values) override;
    void onError(std::size_t query, const pgwire::ErrorFields& error) override;
    void onParameterStatus(std::string_view name, std::string_view value) override;
    void onEnd(const upstream::BatchEnd& end) override;

    struct Acknowledged {
        std::uint64_t sequence { 0 };
        Time ended;
    };

    kernel::Loop& loop;
    CallerOptions options;
    std::unique_ptr<upstream::PqLink> link;
    kernel::Address daemon; ///< Of the link.
    Time begunAt; ///< When the running operation's last attempt, or the opening of the link, began.
    bool isOpen { false };
    bool isRunning { false };
    kernel::Registration retryTimer;
    std::deque<Operation> queue;
    std::uint64_t nextSequence { 1 };
    std::uint64_t shownSequence { 0 };
    std::vector<Acknowledged> acknowledged;
    std::uint32_t attempts { 0 };
    std::string token;
    std::string sqlstate;
    std::string marker;
    WriteRecord write;
    ReadRecord read;
    std::shared_ptr<int> alive;
};

}
