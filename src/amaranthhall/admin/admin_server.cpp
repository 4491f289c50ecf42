#include "amaranthhall/admin/admin_server.hpp"

#include "amaranthhall/admin/view_routes.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

namespace amaranthhall::admin {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t longestBody = 16U << 20U;

    http::Response makeTextResponse(int status, std::string body)
    {
        return { .status = status, .headers = { { .name = "content-type", .value = "text/plain; version=0.0.4" } }, .body = std::move(body) };
    }

}

http::Response makeJsonResponse(int status, const Json& body)
{
    return { .status = status, .headers = { { .name = "content-type", .value = "application/json" } }, .body = body.dump() + "\n" };
}

AdminServer::AdminServer(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, const kernel::Settings& settings)
    : loop(usedLoop)
    , registry(usedRegistry)
    , vm(settings.vm)
    , started(usedLoop.now())
    , server(usedLoop, { .listen = settings.listen.admin, .maximumBodySize = longestBody })
{
    this->route("/healthz", [](const auto&, auto reply) { reply(makeTextResponse(200, "ok\n")); });
    this->route("/readyz", [this](const auto&, auto reply) {
        std::string text;
        for (const auto& reason : this->unreadyReasons())
            text += reason + "\n";
        reply(text.empty() ? makeTextResponse(200, "ready\n") : makeTextResponse(503, text));
    });
    this->route("/metrics", [this](const auto&, auto reply) { reply(makeTextResponse(200, this->registry.find<telemetry::Metrics>("metrics").serialize())); });
    this->route("/v1/status", [this](const auto&, auto reply) { reply(makeJsonResponse(200, this->status())); });
    routeViews(*this, this->registry);
}

void AdminServer::drain(std::function<void()> done)
{
    this->draining = true;
    done();
}

std::vector<std::string> AdminServer::unreadyReasons() const
{
    std::vector<std::string> reasons;
    if (this->draining)
        reasons.emplace_back("draining");
    for (const auto& check : this->readinessChecks) {
        if (auto reason = check())
            reasons.push_back(*std::move(reason));
    }
    return reasons;
}

Json AdminServer::status() const
{
    const auto reasons = this->unreadyReasons();
    Json status {
        { "vm", this->vm.id },
        { "region", this->vm.region },
        { "zone", this->vm.zone },
        { "uptime_s", std::chrono::duration_cast<std::chrono::seconds>(this->loop.now() - this->started).count() },
        { "ready", reasons.empty() },
        { "not_ready_because", reasons },
    };
    for (const auto& [part, describe] : this->statusParts)
        status[part] = describe();
    return status;
}

}
