#include "amaranthhall/kernel/byte_stream.hpp"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace amaranthhall::kernel {

namespace {

    constexpr std::size_t readBytes = 65536;

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

bool ByteStream::hasUnreadInput() const noexcept
{
    char next = 0;
    return this->socket && recv(this->socket.descriptor(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ByteStream::read()
{
    std::array<char, readBytes> buffer; // NOLINT: not zeroed, since recv fills it.
    const auto count = recv(this->socket.descriptor(), buffer.data(), buffer.size(), 0);
    if (count > 0) {
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
            if (!this->writeWatch)
                this->writeWatch = this->loop.watch(this->socket.descriptor(), { .writable = true }, [this](auto) { this->flush(); });
            return;
        }
        this->written += static_cast<std::size_t>(count);
    }
    this->output.clear();
    this->written = 0;
    const bool hadToWait = static_cast<bool>(this->writeWatch);
    this->writeWatch.reset();
    if (this->closing)
        this->fail();
    else if (hadToWait && this->callbacks.drained)
        this->callbacks.drained();
}

void ByteStream::fail()
{
    this->readWatch.reset();
    this->writeWatch.reset();
    this->socket.close();
    this->output.clear();
    this->written = 0;
    // The owner may destroy this stream in the callback, which therefore comes on a later turn.
    if (auto closed = std::exchange(this->callbacks.closed, nullptr))
        this->loop.post(std::move(closed));
}

}
