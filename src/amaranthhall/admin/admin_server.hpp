#pragma once

#include "amaranthhall/http/server.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/kernel/settings.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace amaranthhall::admin {

/// @brief HTTP for operators and metrics. Registered as service `admin`.
class AdminServer final : public kernel::Service {
public:
    /// @brief Gives why the daemon is not ready, or nothing.
    using ReadinessCheck = std::function<std::optional<std::string>()>;

    /// @brief Gives a module's part of `/v1/status`.
    using StatusPart = std::function<nlohmann::json()>;

    /// @brief Begins to listen; the routes of other services may be added until the loop runs.
    AdminServer(kernel::Loop& loop, kernel::Registry& registry, const kernel::Settings& settings);

    [[nodiscard]] std::string_view name() const noexcept override { return "admin"; }
    void drain(std::function<void()> done) override;

    /// @brief Serves a path.
    void route(std::string path, http::Handler handler) { this->server.route(std::move(path), std::move(handler)); }

    /// @brief Adds a reason for `/readyz` to answer 503.
    void addReadinessCheck(ReadinessCheck check) { this->readinessChecks.push_back(std::move(check)); }

    /// @brief Adds a part to `/v1/status`.
    void addStatus(std::string part, StatusPart status) { this->statusParts.emplace_back(std::move(part), std::move(status)); }

    /// @brief Gives the port on which it listens.
    [[nodiscard]] std::uint16_t port() const noexcept { return this->server.port(); }

private:
    [[nodiscard]] std::vector<std::string> unreadyReasons() const;
    [[nodiscard]] nlohmann::json status() const;

    kernel::Loop& loop;
    kernel::Registry& registry;
    kernel::VmSettings vm;
    Time started;
    bool draining { false };
    std::vector<ReadinessCheck> readinessChecks;
    std::vector<std::pair<std::string, StatusPart>> statusParts;
    http::Server server;
};

/// @brief Makes a response of JSON.
[[nodiscard]] http::Response makeJsonResponse(int status, const nlohmann::json& body);

}
