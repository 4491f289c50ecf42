#include "amaranthhall/kernel/datagram_socket.hpp"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace amaranthhall::kernel {

namespace {

    constexpr std::size_t largestDatagram = 65536;
    constexpr int mostAtOnce = 32; // datagrams read in one turn of the loop

}

DatagramSocket::DatagramSocket(Loop& loop, const Address& listen, Received usedReceived)
    : socket(bindDatagrams(listen))
    , received(std::move(usedReceived))
    , watch(loop.watch(this->socket.descriptor(), { .readable = true }, [this](auto) { this->read(); }))
{
}

void DatagramSocket::send(const Address& to, std::string_view bytes)
{
    static_cast<void>(sendDatagram(this->socket, to, bytes));
}

void DatagramSocket::read()
{
    std::array<char, largestDatagram> buffer; // NOLINT: not zeroed, since recv fills it.
    for (int i = 0; i < mostAtOnce; ++i) {
        const auto count = recv(this->socket.descriptor(), buffer.data(), buffer.size(), 0);
        if (count < 0)
            return;
        this->received(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
    }
}

}
