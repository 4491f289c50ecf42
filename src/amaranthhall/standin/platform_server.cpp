#include "amaranthhall/standin/platform_server.hpp"

#include <memory>

namespace amaranthhall::standin {

namespace {

    using Json = nlohmann::json;
    using Millis = std::chrono::milliseconds;

    constexpr std::string_view vmPath = "/v1/vms";
    constexpr std::string_view objectPath = "/v1/objects/";
    constexpr std::size_t longestBody = 16U << 20U;

    http::Response makeResponse(int status, const Json& body)
    {
        return { .status = status, .headers = { { .name = "content-type", .value = "application/json" } }, .body = body.is_null() ? "" : body.dump() };
    }

    http::Response makeResponse(const PlatformAnswer& answer)
    {
        return makeResponse(answer.status, answer.body);
    }

    http::Response makeObjectResponse(PlatformAnswer answer)
    {
        if (answer.status != 200)
            return { .status = answer.status };
        http::Response response { .headers = { { .name = "etag", .value = answer.body.at("etag").get<std::string>() } } };
        response.body = answer.body.value("body", "");
        return response;
    }

    /// Answers 400 where the work finds a malformed body.
    http::Response runWork(const std::function<http::Response(const http::Request&)>& work, const http::Request& request)
    {
        try {
            return work(request);
        } catch (const Json::exception& exception) {
            return makeResponse(400, { { "error", exception.what() } });
        }
    }

}

PlatformServer::PlatformServer(kernel::Loop& usedLoop, const PlatformOptions& options)
    : loop(usedLoop)
    , store(options.limits)
    , server(usedLoop, { .listen = options.listen, .maximumBodySize = longestBody })
{
    this->routeWrite("/v1/transact", [this](const auto& request) { return makeResponse(this->store.transact(Json::parse(request.body))); });
    this->routeRead("/v1/rows", [this](const auto& request) {
        const auto key = http::findQueryParameter(request.query, "key");
        if (!key.empty())
            return makeResponse(200, { { "rows", Json::array({ this->store.readRow(key) }) } });
        return makeResponse(200, { { "rows", this->store.readRows(http::findQueryParameter(request.query, "prefix")) } });
    });
    this->routeRead(std::string(vmPath), [this](const auto&) { return makeResponse(200, { { "vms", this->store.listVms(this->loop.now(), this->faults.vmLag) } }); });
    this->server.route(std::string(objectPath), [this](const auto& request, auto reply) { this->serveObject(request, reply); });
    this->routeAdmin();
}

void PlatformServer::routeRead(std::string path, Work work)
{
    this->server.route(std::move(path), [this, work = std::move(work)](const auto& request, auto reply) {
        const auto isList = request.path == vmPath;
        if (isList ? this->faults.down : this->isStoreDown())
            this->answer({ .status = 503 }, reply);
        else if (!this->store.admitRead(this->loop.now()))
            this->answer({ .status = 429 }, reply);
        else
            this->answer(runWork(work, request), reply);
    });
}

void PlatformServer::routeWrite(std::string path, Work work)
{
    this->server.route(std::move(path), [this, work = std::move(work)](const auto& request, auto reply) {
        if (this->isStoreDown())
            this->answer({ .status = 503 }, reply);
        else if (!this->store.admitWrite(this->loop.now()))
            this->answer({ .status = 429 }, reply);
        else
            this->answerWrite(runWork(work, request), reply);
    });
}

void PlatformServer::serveObject(const http::Request& request, const http::Reply& reply)
{
    const auto name = request.path.substr(objectPath.size());
    const auto isWrite = request.method == "PUT";
    if (this->isStoreDown())
        return this->answer({ .status = 503 }, reply);
    if (!(isWrite ? this->store.admitWrite(this->loop.now()) : this->store.admitRead(this->loop.now())))
        return this->answer({ .status = 429 }, reply);
    if (!isWrite)
        return this->answer(makeObjectResponse(this->store.readObject(name)), reply);
    const auto ifMatch = http::findHeader(request.headers, "if-match");
    if (ifMatch.empty() && http::findHeader(request.headers, "if-none-match") != "*")
        return this->answer({ .status = 428 }, reply);
    this->answerWrite(makeObjectResponse(this->store.writeObject(name, request.body, ifMatch)), reply);
}

void PlatformServer::answer(http::Response response, const http::Reply& reply)
{
    if (this->faults.slow.count() == 0) {
        reply(std::move(response));
        return;
    }
    auto timer = std::make_shared<kernel::Registration>();
    *timer = this->loop.after(this->faults.slow, [timer, reply, held = std::move(response)] {
        reply(held);
        timer->reset();
    });
}

void PlatformServer::answerWrite(http::Response response, const http::Reply& reply)
{
    if (this->faults.loseAnswers > 0) {
        --this->faults.loseAnswers;
        ++this->store.stats().lost;
        return;
    }
    this->answer(std::move(response), reply);
}

void PlatformServer::routeAdmin()
{
    this->server.route("/admin/faults", [this](const auto& request, auto reply) {
        reply(runWork([this](const auto& wanted) {
            this->setFaults(Json::parse(wanted.body));
            return makeResponse(200, Json::object());
        },
            request));
    });
    this->server.route("/admin/vms", [this](const auto& request, auto reply) {
        reply(runWork([this](const auto& wanted) {
            if (wanted.method == "DELETE")
                this->store.removeVm(http::findQueryParameter(wanted.query, "id"), this->loop.now());
            else
                this->store.putVm(Json::parse(wanted.body), this->loop.now());
            return makeResponse(200, Json::object());
        },
            request));
    });
    this->server.route("/admin/stats", [this](const auto&, auto reply) {
        const auto& stats = this->store.stats();
        reply(makeResponse(200, { { "reads", stats.reads }, { "writes", stats.writes }, { "throttled", stats.throttled }, { "lost", stats.lost } }));
    });
}

void PlatformServer::setFaults(const Json& wanted)
{
    this->faults.down = wanted.value("down", this->faults.down);
    this->faults.storeDown = wanted.value("store_down", this->faults.storeDown);
    this->faults.slow = Millis(wanted.value("slow_ms", this->faults.slow.count()));
    this->faults.loseAnswers = wanted.value("lose_answers", this->faults.loseAnswers);
    this->faults.vmLag = Millis(wanted.value("vm_lag_ms", this->faults.vmLag.count()));
}

}
