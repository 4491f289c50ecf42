#pragma once

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/pgwire/frame.hpp"
#include "amaranthhall/standin/group_log.hpp"

#include <memory>

namespace amaranthhall::standin {

class UpstreamServer;

/// @brief Sends a primary's log to one other upstream and follows how far it has come.
class ReplicaFeed {
public:
    ReplicaFeed(UpstreamServer& server, kernel::Address target);

    /// @brief Sends what is new, if the server is primary and the last feed has been answered.
    void wake();

    /// @brief Tells whether it takes up a slot.
    [[nodiscard]] bool isConnected() const noexcept { return this->stream != nullptr; }

private:
    void tick();
    void connect();
    void received(std::string_view bytes);
    void takeAnswer(std::string_view body);
    void closed();

    UpstreamServer& server;
    kernel::Address target;
    kernel::Registration timer;
    std::unique_ptr<kernel::ByteStream> stream;
    pgwire::FrameReader reader;
    group::Position next { 0 };
    group::Term probedTerm { 0 };
    bool awaitsAnswer { false };
    std::shared_ptr<int> alive;
};

}
