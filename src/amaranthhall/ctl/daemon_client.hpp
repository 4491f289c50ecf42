#pragma once

#include "amaranthhall/http/client.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace amaranthhall::ctl {

/// @brief Why a daemon gave no answer.
struct ClientError {
    bool wasSent { false }; ///< The request may have reached the daemon.
    std::string text; ///< For the operator.
};

/// @brief Answer of a daemon.
struct DaemonAnswer {
    kernel::Address daemon;
    int status { 0 };
    nlohmann::json body;
};

/// @brief Outcome of asking a daemon.
using ClientResult = tl::expected<DaemonAnswer, ClientError>;

/// @brief Asks daemons over their admin addresses and waits for the answers.
class DaemonClient {
public:
    explicit DaemonClient(std::vector<kernel::Address> usedDaemons)
        : daemons(std::move(usedDaemons))
    {
    }

    /// @brief Asks the daemons in turn until one answers; goes on to the next only if nothing was sent.
    [[nodiscard]] ClientResult ask(std::string_view method, std::string_view path, std::string_view query = {}, std::string body = {}) const;

    /// @brief Asks several daemons at once; the results are in their order.
    [[nodiscard]] static std::vector<ClientResult> askEach(const std::vector<kernel::Address>& daemons, std::string_view path);

    [[nodiscard]] const std::vector<kernel::Address>& addresses() const noexcept { return this->daemons; }

private:
    std::vector<kernel::Address> daemons;
};

/// @brief Parses addresses separated by commas; the error names the wrong one.
[[nodiscard]] tl::expected<std::vector<kernel::Address>, std::string> parseDaemons(std::string_view text);

}
