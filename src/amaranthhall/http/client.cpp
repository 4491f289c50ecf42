#include "amaranthhall/http/client.hpp"

#include <algorithm>
#include <cctype>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <utility>

namespace amaranthhall::http {

namespace {

    constexpr std::size_t idleConnections = 2; // for each address

    evhttp_cmd_type toCommand(std::string_view method)
    {
        if (method == "POST")
            return EVHTTP_REQ_POST;
        if (method == "PUT")
            return EVHTTP_REQ_PUT;
        return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
    }

    HttpError toError(evhttp_request_error error)
    {
        if (error == EVREQ_HTTP_TIMEOUT)
            return HttpError::Timeout;
        return error == EVREQ_HTTP_DATA_TOO_LONG ? HttpError::TooLarge : HttpError::Broken;
    }

    std::string lowerCase(std::string_view text)
    {
        std::string lowered(text);
        std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return lowered;
    }

    Response readResponse(evhttp_request* request)
    {
        Response response { .status = evhttp_request_get_response_code(request) };
        const auto* headers = evhttp_request_get_input_headers(request);
        for (const auto* header = headers->tqh_first; header; header = header->next.tqe_next)
            response.headers.push_back({ .name = lowerCase(header->key), .value = header->value });
        auto* body = evhttp_request_get_input_buffer(request);
        response.body.resize(evbuffer_get_length(body));
        evbuffer_copyout(body, response.body.data(), response.body.size());
        return response;
    }

}

struct Client::ConnectionCloser {
    void operator()(evhttp_connection* connection) const noexcept { evhttp_connection_free(connection); }
};

/// @brief One request under way, which the library's callbacks point to.
class Client::Call {
public:
    Client* client { nullptr };
    kernel::Address to;
    std::unique_ptr<evhttp_connection, ConnectionCloser> connection;
    HttpError error { HttpError::Unreachable };
    Done done;
    kernel::Registration timer;
    std::weak_ptr<Call> self;

    static void onDone(evhttp_request* request, void* argument)
    {
        const auto call = static_cast<Call*>(argument)->self.lock();
        if (request && evhttp_request_get_response_code(request) != 0)
            call->client->finish(call, readResponse(request));
        else
            call->client->finish(call, tl::unexpected(call->error));
    }

    static void onError(evhttp_request_error error, void* argument)
    {
        static_cast<Call*>(argument)->error = toError(error);
    }
};

struct Client::Native {
    std::unordered_set<std::shared_ptr<Call>> calls;
    std::map<kernel::Address, std::vector<std::unique_ptr<evhttp_connection, ConnectionCloser>>> idle;
    std::shared_ptr<int> alive { std::make_shared<int>(0) };
};

Client::Client(kernel::Loop& usedLoop, std::size_t maximum)
    : loop(usedLoop)
    , maximumBody(maximum)
    , native(std::make_unique<Native>())
{
}

Client::~Client() = default;

void Client::send(const kernel::Address& to, const Request& request, Duration timeout, Done done)
{
    const auto call = std::make_shared<Call>();
    call->client = this;
    call->to = to;
    call->done = std::move(done);
    call->self = call;
    this->native->calls.insert(call);
    auto& idle = this->native->idle[to];
    if (!idle.empty()) {
        call->connection = std::move(idle.back());
        idle.pop_back();
    } else {
        call->connection.reset(evhttp_connection_base_bufferevent_new(this->loop.base(), nullptr, nullptr, to.host.c_str(), to.port));
        evhttp_connection_set_max_body_size(call->connection.get(), static_cast<ev_ssize_t>(this->maximumBody));
    }
    call->timer = this->loop.after(timeout, [this, waiting = std::weak_ptr(call)] {
        if (const auto late = waiting.lock())
            this->finish(late, tl::unexpected(HttpError::Timeout));
    });
    auto* native = evhttp_request_new(Call::onDone, call.get());
    evhttp_request_set_error_cb(native, Call::onError);
    auto* headers = evhttp_request_get_output_headers(native);
    evhttp_add_header(headers, "Host", kernel::formatAddress(to).c_str());
    for (const auto& header : request.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(native), request.body.data(), request.body.size());
    const auto target = request.query.empty() ? request.path : request.path + "?" + request.query;
    if (evhttp_make_request(call->connection.get(), native, toCommand(request.method), target.c_str()) != 0) {
        this->loop.post([this, waiting = std::weak_ptr(call)] {
            if (const auto failed = waiting.lock())
                this->finish(failed, tl::unexpected(HttpError::Unreachable));
        });
    }
}

void Client::finish(const std::shared_ptr<Call>& call, HttpResult result)
{
    if (this->native->calls.erase(call) == 0)
        return;
    call->timer.reset();
    // The library still holds the connection while it calls back, so it is reused or closed on a later turn.
    this->loop.post([this, living = std::weak_ptr(this->native->alive), call, isReusable = result.has_value()] {
        if (living.expired())
            return;
        auto& idle = this->native->idle[call->to];
        if (isReusable && idle.size() < idleConnections)
            idle.push_back(std::move(call->connection));
        call->connection.reset();
    });
    this->loop.post([done = std::move(call->done), result = std::move(result)]() mutable { done(std::move(result)); });
}

}
