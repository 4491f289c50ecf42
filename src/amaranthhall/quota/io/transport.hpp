#pragma once

#include "amaranthhall/quota/messages.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::quota {

/// @brief Sends messages to the daemons that may own a bucket.
class Transport {
public:
    Transport() = default;
    Transport(const Transport&) = delete;
    Transport& operator=(const Transport&) = delete;
    virtual ~Transport() = default;

    /// @brief Returns the VM of this daemon.
    [[nodiscard]] virtual const std::string& self() const noexcept = 0;

    /// @brief Returns the daemons that may own an organisation's bucket, first the one that should; this daemon may be among them.
    [[nodiscard]] virtual const std::vector<std::string>& ranking(std::string_view organisation) = 0;

    /// @brief Returns the daemons whose leases an organisation's owner needs, also those that have not been heard from lately; this daemon may be among them.
    [[nodiscard]] virtual const std::vector<std::string>& voters(std::string_view organisation) = 0;

    /// @brief Returns the number of daemons of the fleet, also of those that have not been heard from lately.
    [[nodiscard]] virtual std::size_t daemons() const noexcept = 0;

    /// @brief Returns the address of a daemon; std::nullopt if it is not known.
    [[nodiscard]] virtual std::optional<kernel::Address> addressOf(std::string_view vm) const = 0;

    /// @brief Sends a message about an organisation, which may be lost; a message to this daemon itself arrives on a later turn of the loop.
    virtual void send(const kernel::Address& to, const std::string& organisation, Content content) = 0;

    /// @brief Returns the time of a clock that also counts while the VM is suspended.
    [[nodiscard]] virtual Time now() const noexcept = 0;
};

}
