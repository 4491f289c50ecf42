#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/upstream/pq_link.hpp"
#include "amaranthhall/upstream/quiet_sink.hpp"

#include <functional>
#include <memory>
#include <string>

namespace amaranthhall::share {

/// @brief Has an upstream terminate all connections of a VM, over a connection of its own.
class ConnectionRelease final : private upstream::internal::QuietSink {
public:
    /// @brief Called once with whether the upstream has confirmed; never from within start().
    using ReleaseCallback = std::function<void(bool released)>;

    ConnectionRelease(kernel::Loop& loop, upstream::LinkOptions options, std::string vm, ReleaseCallback callback);

    /// @brief Connects and asks.
    void start();

private:
    void onCompleted(std::size_t query, std::string_view tag) override;
    void onError(std::size_t query, const pgwire::ErrorFields& error) override;
    void onEnd(const upstream::BatchEnd& end) override;
    void finish(bool isReleased);

    kernel::Loop& loop;
    upstream::PqLink link;
    std::string vm;
    ReleaseCallback callback;
    kernel::Registration timer;
    bool failed { false };
    bool completed { false };
};

}
