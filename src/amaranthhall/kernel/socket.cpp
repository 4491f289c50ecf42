#include "amaranthhall/kernel/socket.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace amaranthhall::kernel {

namespace {

    constexpr int listenBacklog = 1024;

    struct SocketAddress {
        sockaddr_storage storage {};
        socklen_t length { sizeof(sockaddr_storage) };

        [[nodiscard]] sockaddr* raw() noexcept { return reinterpret_cast<sockaddr*>(&this->storage); }
    };

    SocketAddress toSocketAddress(const Address& address)
    {
        SocketAddress result;
        auto* four = reinterpret_cast<sockaddr_in*>(&result.storage);
        auto* six = reinterpret_cast<sockaddr_in6*>(&result.storage);
        if (inet_pton(AF_INET, address.host.c_str(), &four->sin_addr) == 1) {
            four->sin_family = AF_INET;
            four->sin_port = htons(address.port);
            result.length = sizeof(sockaddr_in);
            return result;
        }
        if (inet_pton(AF_INET6, address.host.c_str(), &six->sin6_addr) != 1)
            throw std::system_error(EINVAL, std::generic_category(), formatAddress(address));
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(address.port);
        result.length = sizeof(sockaddr_in6);
        return result;
    }

    Address fromSocketAddress(const SocketAddress& address)
    {
        std::array<char, INET6_ADDRSTRLEN> text {};
        if (address.storage.ss_family == AF_INET6) {
            const auto* six = reinterpret_cast<const sockaddr_in6*>(&address.storage);
            inet_ntop(AF_INET6, &six->sin6_addr, text.data(), text.size());
            return { .host = text.data(), .port = ntohs(six->sin6_port) };
        }
        const auto* four = reinterpret_cast<const sockaddr_in*>(&address.storage);
        inet_ntop(AF_INET, &four->sin_addr, text.data(), text.size());
        return { .host = text.data(), .port = ntohs(four->sin_port) };
    }

    void disableDelay(int descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

}

Socket::Socket(Socket&& other) noexcept
    : handle(other.release())
{
}

Socket& Socket::operator=(Socket&& other) noexcept
{
    if (this != &other) {
        this->close();
        this->handle = other.release();
    }
    return *this;
}

Socket::~Socket()
{
    this->close();
}

int Socket::release() noexcept
{
    return std::exchange(this->handle, -1);
}

void Socket::close() noexcept
{
    if (this->handle >= 0)
        ::close(this->release());
}

Socket listenOn(const Address& address)
{
    auto target = toSocketAddress(address);
    Socket socket(::socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const bool isBound = socket && bind(socket.descriptor(), target.raw(), target.length) == 0 && listen(socket.descriptor(), listenBacklog) == 0;
    if (!isBound)
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + formatAddress(address));
    return socket;
}

Socket acceptFrom(const Socket& listener)
{
    Socket accepted(accept4(listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted)
        disableDelay(accepted.descriptor());
    return accepted;
}

Socket connectTo(const Address& address)
{
    auto target = toSocketAddress(address);
    Socket socket(::socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket)
        return {};
    disableDelay(socket.descriptor());
    if (connect(socket.descriptor(), target.raw(), target.length) != 0 && errno != EINPROGRESS)
        return {};
    return socket;
}

int connectError(const Socket& socket) noexcept
{
    int error = 0;
    socklen_t length = sizeof(error);
    if (getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &length) != 0)
        return errno;
    return error;
}

Socket bindDatagrams(const Address& address)
{
    auto target = toSocketAddress(address);
    Socket socket(::socket(target.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket || bind(socket.descriptor(), target.raw(), target.length) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot bind datagrams to " + formatAddress(address));
    return socket;
}

bool sendDatagram(const Socket& socket, const Address& to, std::string_view bytes)
{
    auto target = toSocketAddress(to);
    return sendto(socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL, target.raw(), target.length) == static_cast<ssize_t>(bytes.size());
}

std::uint16_t boundPort(const Socket& listener)
{
    SocketAddress address;
    getsockname(listener.descriptor(), address.raw(), &address.length);
    return fromSocketAddress(address).port;
}

Address peerAddress(const Socket& connection)
{
    SocketAddress address;
    getpeername(connection.descriptor(), address.raw(), &address.length);
    return fromSocketAddress(address);
}

}
