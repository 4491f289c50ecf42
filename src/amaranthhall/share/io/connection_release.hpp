#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/upstream/pq_link.hpp"
#include "amaranthhall/upstream/quiet_sink.hpp"

#include <functional>
#include <memory>
#include <string>

namespace amaranthhall::share {

/// @brief Makes an upstream terminate all connections of a VM, using a dedicated connection.
class ConnectionRelease final : private upstream::internal::QuietSink {
public:
    /// @brief Called once, never from within start(). `released` is true if the upstream has confirmed.
    using ReleaseCallback = std::function<void(bool released)>;

    ConnectionRelease(kernel::Loop& loop, upstream::LinkOptions options, std::string vm, ReleaseCallback callback);

    /// @brief Connects to the upstream and sends the request.
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
