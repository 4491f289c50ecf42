#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/socket.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace amaranthhall::kernel {

/// @brief A connection with a write buffer, on the loop.
class ByteStream {
public:
    /// @brief Called with what was read; the view holds for the call only.
    using Received = std::function<void(std::string_view)>;
    using Notice = std::function<void()>;

    /// @brief What a stream reports.
    struct Callbacks {
        Received received;
        Notice closed; ///< The other end closed, or the connection broke; called once.
        Notice drained; ///< The write buffer is empty again; may be left out.
    };

    ByteStream(Loop& loop, Socket socket, Callbacks callbacks);

    /// @brief Writes bytes, buffering what the connection does not take at once.
    void write(std::string_view bytes);

    /// @brief Gives the number of bytes that wait to be written.
    [[nodiscard]] std::size_t buffered() const noexcept { return this->output.size() - this->written; }

    void pauseReading();
    void resumeReading();

    /// @brief Closes once all buffered bytes are written.
    void closeAfterWrite();

    /// @brief Returns whether the connection has received bytes that are not read yet.
    [[nodiscard]] bool hasUnreadInput() const noexcept;

    [[nodiscard]] const Socket& connection() const noexcept { return this->socket; }

private:
    void read();
    void flush();
    void fail();

    Loop& loop;
    Socket socket;
    Callbacks callbacks;
    Registration readWatch;
    Registration writeWatch;
    std::string output;
    std::size_t written { 0 };
    bool closing { false };
};

}
