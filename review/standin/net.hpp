#pragma once

// Blocking sockets on loopback addresses, and lines that end with CR LF.

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// An address on the loopback network.
struct Endpoint {
    std::string host;
    int port { 0 };

    [[nodiscard]] std::string text() const { return this->host + ":" + std::to_string(this->port); }
};

inline sockaddr_in toNative(const Endpoint& endpoint)
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    if (inet_pton(AF_INET, endpoint.host.c_str(), &native.sin_addr) != 1)
        throw std::runtime_error("not an address: " + endpoint.host);
    return native;
}

/// Owns a socket.
class Socket {
public:
    Socket() = default;
    explicit Socket(int usedHandle)
        : handle(usedHandle)
    {
    }
    Socket(Socket&& other) noexcept
        : handle(std::exchange(other.handle, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        this->close();
        this->handle = std::exchange(other.handle, -1);
        return *this;
    }
    ~Socket() { this->close(); }

    void close()
    {
        if (this->handle >= 0)
            ::close(std::exchange(this->handle, -1));
    }

    /// Wakes a thread that waits on the socket; both directions end.
    void shutdown() const
    {
        if (this->handle >= 0)
            ::shutdown(this->handle, SHUT_RDWR);
    }

    [[nodiscard]] int descriptor() const { return this->handle; }
    explicit operator bool() const { return this->handle >= 0; }

private:
    int handle { -1 };
};

/// Listens on an address; port 0 picks a free port, which is stored in the endpoint.
inline Socket listenOn(Endpoint& endpoint)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto native = toNative(endpoint);
    if (bind(socket.descriptor(), reinterpret_cast<sockaddr*>(&native), sizeof(native)) != 0 || listen(socket.descriptor(), 1024) != 0)
        throw std::runtime_error("cannot listen on " + endpoint.text());
    socklen_t length = sizeof(native);
    getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&native), &length);
    endpoint.port = ntohs(native.sin_port);
    return socket;
}

inline void disableDelay(const Socket& socket)
{
    const int on = 1;
    setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

inline Socket acceptFrom(const Socket& listener)
{
    Socket socket(accept4(listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    if (socket)
        disableDelay(socket);
    return socket;
}

inline Socket connectTo(const Endpoint& endpoint)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    auto native = toNative(endpoint);
    if (connect(socket.descriptor(), reinterpret_cast<sockaddr*>(&native), sizeof(native)) != 0)
        return {};
    disableDelay(socket);
    return socket;
}

inline bool sendAll(const Socket& socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = send(socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/// Reads lines and bodies from a socket.
class Reader {
public:
    explicit Reader(const Socket& usedSocket)
        : socket(usedSocket)
    {
    }

    /// Returns the next line without CR LF; nothing at the end of the connection or after the deadline.
    std::optional<std::string> line(std::optional<Time> deadline = {})
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill(deadline))
                return std::nullopt;
        }
        auto text = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return text;
    }

    std::optional<std::string> body(std::size_t length)
    {
        while (this->buffer.size() < length) {
            if (!this->fill({}))
                return std::nullopt;
        }
        auto text = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return text;
    }

    /// Whether the other side closed the connection; false after a timeout.
    [[nodiscard]] bool hasEnded() const { return this->isEnded; }

private:
    bool fill(std::optional<Time> deadline)
    {
        if (deadline) {
            const auto left = std::chrono::duration_cast<Milliseconds>(*deadline - Clock::now()).count();
            pollfd entry { .fd = this->socket.descriptor(), .events = POLLIN, .revents = 0 };
            if (left < 0 || poll(&entry, 1, static_cast<int>(left) + 1) <= 0)
                return false;
        }
        char chunk[16384];
        const auto count = recv(this->socket.descriptor(), chunk, sizeof(chunk), 0);
        if (count <= 0) {
            this->isEnded = true;
            return false;
        }
        this->buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    const Socket& socket;
    std::string buffer;
    bool isEnded { false };
};

}
