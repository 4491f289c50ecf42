#pragma once

#include <string>
#include <string_view>

/// @brief Bytes that daemons of earlier builds have sent, in hexadecimal digits.
namespace amaranthhall::gossip::earlier {

inline constexpr std::string_view digestOf5682247 = "99a766726f6e742d319392a831302e302e302e31cd224ea2626154c3930328299196a173a3692d310263ce0001e240c39193a173a3692d32c39195a173a3692d314d05c391924dcd04b09192a831302e302e302e32cd224e";
inline constexpr std::string_view digestOfF4b655d = "99a766726f6e742d319392a831302e302e302e31cd224ea2626154c3939200039202289200299197a173a3692d31030263ce0001e240c39193a173a3692d32c39196a173a3692d3192014d05c30491924dcd04b09192a831302e302e302e32cd224e";
inline constexpr std::string_view digestOf2aa645e = "99a766726f6e742d319492a831302e302e302e31cd224ea262615401c3939200039202289200299197a173a3692d31030263ce0001e240c39193a173a3692d32c39196a173a3692d3192014d05c30491924dcd04b09192a831302e302e302e32cd224e";
inline constexpr std::string_view rowsOf5682247 = "78019b346d517ec18265c9f9796999e98baa6b050e810516562c103c0c00cd260e16";
inline constexpr std::string_view rowsOf2aa645e = "78019b346d517ec18265c9f9796999e98baa6b27310a1c020b2dac58308941f0300003300f3b"; ///< F4b655d sends the same.

inline std::string bytesOf(std::string_view digits)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(std::string(digits.substr(i, 2)), nullptr, 16)));
    return bytes;
}

}
