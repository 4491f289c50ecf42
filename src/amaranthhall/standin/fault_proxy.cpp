#include "amaranthhall/standin/fault_proxy.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace amaranthhall::standin {

namespace {

    using Json = nlohmann::json;

    http::Response refuse(std::string_view why)
    {
        return { .status = 400, .body = Json { { "error", why } }.dump() };
    }

}

FaultProxy::FaultProxy(kernel::Loop& usedLoop, const FaultProxyOptions& options)
    : loop(usedLoop)
    , random(options.seed)
    , server(usedLoop, { .listen = options.listen })
{
    this->server.route("/routes", [this](const http::Request& request, const http::Reply& reply) {
        const auto json = Json::parse(request.body, nullptr, false);
        const auto target = json.is_object() ? kernel::parseAddress(json.value("target", "")) : std::nullopt;
        if (!target) {
            reply(refuse("a route needs a name and a target"));
            return;
        }
        reply({ .body = Json { { "port", this->addRoute(json.value("name", ""), *target) } }.dump() });
    });
    this->server.route("/rules", [this](const http::Request& request, const http::Reply& reply) {
        if (request.method == "DELETE") {
            this->clearRules();
            reply({ .body = "{}" });
            return;
        }
        auto rule = decodeRule(request.body);
        if (!rule) {
            reply(refuse("the rule cannot be read"));
            return;
        }
        this->addRule(*std::move(rule));
        reply({ .body = "{}" });
    });
}

std::uint16_t FaultProxy::addRoute(std::string name, kernel::Address target)
{
    auto& route = this->routes.emplace_back(Route { .name = std::move(name), .target = std::move(target), .listener = kernel::listenOn({ .host = "127.0.0.1" }) });
    route.watch = this->loop.watch(route.listener.descriptor(), { .readable = true }, [this, &route](auto) { this->accept(route); });
    return kernel::boundPort(route.listener);
}

void FaultProxy::addRule(FaultRule rule)
{
    std::erase_if(this->rules, [&](const auto& older) { return older.route == rule.route && older.match == rule.match; });
    this->rules.push_back(std::move(rule));
    for (auto& connection : this->connections)
        this->applyRules(connection);
}

void FaultProxy::clearRules()
{
    this->rules.clear();
    for (auto& connection : this->connections)
        connection.proxied->apply({});
}

const FaultRule* FaultProxy::findRule(const Connection& connection) const
{
    const auto found = std::find_if(this->rules.rbegin(), this->rules.rend(), [&](const auto& rule) {
        const bool isRoute = rule.route.empty() || rule.route == connection.route;
        return isRoute && (rule.match.empty() || connection.proxied->firstBytes().find(rule.match) != std::string::npos);
    });
    return found == this->rules.rend() ? nullptr : &*found;
}

void FaultProxy::applyRules(Connection& connection)
{
    if (const auto* rule = this->findRule(connection))
        connection.proxied->apply(*rule);
}

void FaultProxy::accept(Route& route)
{
    auto source = kernel::acceptFrom(route.listener);
    if (!source)
        return;
    auto& connection = this->connections.emplace_back(Connection { .route = route.name });
    connection.proxied = std::make_unique<FaultConnection>(this->loop, this->random, std::move(source), route.target, [this, &connection] {
        this->connections.remove_if([&](const auto& other) { return &other == &connection; });
    });
    connection.proxied->identified = [this, &connection] { this->applyRules(connection); };
    this->applyRules(connection);
}

}
