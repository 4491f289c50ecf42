#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/socket.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amaranthhall::kernel {

/// @brief A connection with a write buffer, on the loop.
class ByteStream {
public:
    static constexpr std::size_t maximumReadSize = 65536; ///< In bytes, of one read.

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

    /// @brief Gives the number of bytes of memory that unwritten output occupies.
    [[nodiscard]] std::size_t occupied() const noexcept { return this->output.size(); }

    /// @brief Gives the number of bytes that were read and written so far; it stands still while the other end does nothing.
    [[nodiscard]] std::uint64_t transferred() const noexcept { return this->transferredBytes; }

    /// @brief Limits the bytes that are read at once.
    void setReadLimit(std::size_t bytes) noexcept { this->readLimit = bytes; }

    void pauseReading();
    void resumeReading();

    /// @brief Returns whether reading is not paused.
    [[nodiscard]] bool isReading() const noexcept { return static_cast<bool>(this->readWatch); }

    /// @brief Closes once all buffered bytes are written.
    void closeAfterWrite();

    /// @brief Closes at once and drops what is not written; `closed` is called on a later turn.
    void abort();

    /// @brief Returns whether the connection has received bytes that are not read yet.
    [[nodiscard]] bool hasUnreadInput() const noexcept;

    [[nodiscard]] const Socket& connection() const noexcept { return this->socket; }

private:
    void read();
    void flush();
    void dropWritten();
    void fail();

    Loop& loop;
    Socket socket;
    Callbacks callbacks;
    Registration readWatch;
    Registration writeWatch;
    std::string output;
    std::size_t written { 0 };
    std::size_t readLimit { maximumReadSize };
    std::uint64_t transferredBytes { 0 };
    bool closing { false };
};

}
