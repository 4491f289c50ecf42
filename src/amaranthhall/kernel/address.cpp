#include "amaranthhall/kernel/address.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace amaranthhall::kernel {

namespace {

    bool isIpNumber(const std::string& host)
    {
        std::array<unsigned char, sizeof(in6_addr)> storage {};
        return inet_pton(AF_INET, host.c_str(), storage.data()) == 1 || inet_pton(AF_INET6, host.c_str(), storage.data()) == 1;
    }

}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Address address { .host = std::string(text.substr(0, colon)) };
    const auto port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size() || !isIpNumber(address.host))
        return std::nullopt;
    return address;
}

bool isIpAddress(const Address& address)
{
    return isIpNumber(address.host);
}

std::string formatAddress(const Address& address)
{
    return address.host + ":" + std::to_string(address.port);
}

}
