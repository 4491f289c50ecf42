#include "amaranthhall/kernel/byte_stream.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace amaranthhall::kernel {

namespace {

    constexpr std::size_t maximumIdleCapacity = 16384; // bytes of buffer capacity that a connection without output keeps

}

ByteStream::ByteStream(Loop& usedLoop, Socket usedSocket, Callbacks usedCallbacks)
    : loop(usedLoop)
    , socket(std::move(usedSocket))
    , callbacks(std::move(usedCallbacks))
{
    this->resumeReading();
}

void ByteStream::write(std::string_view bytes)
{
    if (!this->socket || this->closing)
        return;
    // What the connection takes at once is not copied.
    if (this->buffered() == 0) {
        const auto count = send(this->socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count > 0) {
            this->transferredBytes += static_cast<std::size_t>(count);
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }
    if (bytes.empty())
        return;
    this->output.append(bytes);
    if (!this->writeWatch)
        this->flush();
}

void ByteStream::pauseReading()
{
    this->readWatch.reset();
}

void ByteStream::resumeReading()
{
    if (!this->readWatch && this->socket)
        this->readWatch = this->loop.watch(this->socket.descriptor(), { .readable = true }, [this](auto) { this->read(); });
}

void ByteStream::closeAfterWrite()
{
    this->closing = true;
    if (this->buffered() == 0)
        this->fail();
}

void ByteStream::abort()
{
    this->closing = true;
    if (this->socket)
        this->fail();
}

bool ByteStream::hasUnreadInput() const noexcept
{
    char next = 0;
    return this->socket && recv(this->socket.descriptor(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ByteStream::read()
{
    std::array<char, maximumReadSize> buffer; // NOLINT: not zeroed, since recv fills it.
    const auto count = recv(this->socket.descriptor(), buffer.data(), std::min(buffer.size(), this->readLimit), 0);
    if (count > 0) {
        this->transferredBytes += static_cast<std::size_t>(count);
        if (!this->closing)
            this->callbacks.received(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
        return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    this->fail();
}

void ByteStream::flush()
{
    while (this->buffered() > 0) {
        const auto count = send(this->socket.descriptor(), this->output.data() + this->written, this->buffered(), MSG_NOSIGNAL);
        if (count < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                this->fail();
                return;
            }
            this->dropWritten();
            if (!this->writeWatch)
                this->writeWatch = this->loop.watch(this->socket.descriptor(), { .writable = true }, [this](auto) { this->flush(); });
            return;
        }
        this->written += static_cast<std::size_t>(count);
        this->transferredBytes += static_cast<std::size_t>(count);
    }
    this->dropWritten();
    const bool hadToWait = static_cast<bool>(this->writeWatch);
    this->writeWatch.reset();
    if (this->closing)
        this->fail();
    else if (hadToWait && this->callbacks.drained)
        this->callbacks.drained();
}

/// Frees what is written: else the buffer of a reader that is slow, but never quite stops, grows with everything that it was sent.
void ByteStream::dropWritten()
{
    if (this->buffered() == 0) {
        this->output.clear();
        if (this->output.capacity() > maximumIdleCapacity)
            this->output.shrink_to_fit();
        this->written = 0;
    } else if (this->written > this->output.size() / 2) {
        this->output.erase(0, this->written);
        this->written = 0;
    }
}

void ByteStream::fail()
{
    this->readWatch.reset();
    this->writeWatch.reset();
    this->socket.close();
    this->output = {};
    this->written = 0;
    // The owner may destroy this stream in the callback, which therefore comes on a later turn.
    if (auto closed = std::exchange(this->callbacks.closed, nullptr))
        this->loop.post(std::move(closed));
}

}
