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

    constexpr std::size_t maximumIdleConnections = 2; // per address

    evhttp_cmd_type toMethod(std::string_view method)
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
        return error == EVREQ_HTTP_DATA_TOO_LONG ? HttpError::TooLarge : HttpError::ConnectionLost;
    }

    std::string toLowerCase(std::string_view text)
    {
        std::string lowerCaseText(text);
        std::transform(lowerCaseText.begin(), lowerCaseText.end(), lowerCaseText.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return lowerCaseText;
    }

    Response readResponse(evhttp_request* request)
    {
        Response response { .status = evhttp_request_get_response_code(request) };
        const auto* headers = evhttp_request_get_input_headers(request);
        for (const auto* header = headers->tqh_first; header; header = header->next.tqe_next)
            response.headers.push_back({ .name = toLowerCase(header->key), .value = header->value });
        auto* body = evhttp_request_get_input_buffer(request);
        response.body.resize(evbuffer_get_length(body));
        evbuffer_copyout(body, response.body.data(), response.body.size());
        return response;
    }

}

struct Client::ConnectionCloser {
    void operator()(evhttp_connection* connection) const noexcept { evhttp_connection_free(connection); }
};

/// @brief A request in progress; the callbacks of libevent receive a pointer to it.
class Client::PendingRequest {
public:
    Client* client { nullptr };
    kernel::Address to;
    std::unique_ptr<evhttp_connection, ConnectionCloser> connection;
    HttpError error { HttpError::Unreachable };
    ResponseCallback callback;
    kernel::Registration timer;
    std::weak_ptr<PendingRequest> self;

    static void onResponse(evhttp_request* request, void* argument)
    {
        const auto pending = static_cast<PendingRequest*>(argument)->self.lock();
        if (request && evhttp_request_get_response_code(request) != 0)
            pending->client->complete(pending, readResponse(request));
        else
            pending->client->complete(pending, tl::unexpected(pending->error));
    }

    static void onError(evhttp_request_error error, void* argument)
    {
        static_cast<PendingRequest*>(argument)->error = toError(error);
    }
};

struct Client::Native {
    std::unordered_set<std::shared_ptr<PendingRequest>> pendingRequests;
    std::map<kernel::Address, std::vector<std::unique_ptr<evhttp_connection, ConnectionCloser>>> idle;
    std::shared_ptr<int> alive { std::make_shared<int>(0) };
};

Client::Client(kernel::Loop& usedLoop, std::size_t usedMaximumBodySize)
    : loop(usedLoop)
    , maximumBodySize(usedMaximumBodySize)
    , native(std::make_unique<Native>())
{
}

Client::~Client() = default;

void Client::send(const kernel::Address& to, const Request& request, Duration timeout, ResponseCallback callback)
{
    const auto pending = std::make_shared<PendingRequest>();
    pending->client = this;
    pending->to = to;
    pending->callback = std::move(callback);
    pending->self = pending;
    this->native->pendingRequests.insert(pending);
    auto& idle = this->native->idle[to];
    if (!idle.empty()) {
        pending->connection = std::move(idle.back());
        idle.pop_back();
    } else {
        pending->connection.reset(evhttp_connection_base_bufferevent_new(this->loop.base(), nullptr, nullptr, to.host.c_str(), to.port));
        evhttp_connection_set_max_body_size(pending->connection.get(), static_cast<ev_ssize_t>(this->maximumBodySize));
    }
    pending->timer = this->loop.after(timeout, [this, weakRequest = std::weak_ptr(pending)] {
        if (const auto timedOut = weakRequest.lock())
            this->complete(timedOut, tl::unexpected(HttpError::Timeout));
    });
    auto* native = evhttp_request_new(PendingRequest::onResponse, pending.get());
    evhttp_request_set_error_cb(native, PendingRequest::onError);
    auto* headers = evhttp_request_get_output_headers(native);
    evhttp_add_header(headers, "Host", kernel::formatAddress(to).c_str());
    for (const auto& header : request.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(native), request.body.data(), request.body.size());
    const auto target = request.query.empty() ? request.path : request.path + "?" + request.query;
    if (evhttp_make_request(pending->connection.get(), native, toMethod(request.method), target.c_str()) != 0) {
        this->loop.post([this, weakRequest = std::weak_ptr(pending)] {
            if (const auto failed = weakRequest.lock())
                this->complete(failed, tl::unexpected(HttpError::Unreachable));
        });
    }
}

void Client::complete(const std::shared_ptr<PendingRequest>& pending, HttpResult result)
{
    if (this->native->pendingRequests.erase(pending) == 0)
        return;
    pending->timer.reset();
    // Connections may go silent together, so after a timeout the next request to the address gets a new one.
    if (!result && result.error() == HttpError::Timeout)
        this->native->idle[pending->to].clear();
    // libevent still uses the connection during its callback, so it is reused or closed in a later iteration of the event loop.
    this->loop.post([this, aliveToken = std::weak_ptr(this->native->alive), pending, isConnectionReusable = result.has_value()] {
        if (aliveToken.expired())
            return;
        auto& idle = this->native->idle[pending->to];
        if (isConnectionReusable && idle.size() < maximumIdleConnections)
            idle.push_back(std::move(pending->connection));
        pending->connection.reset();
    });
    this->loop.post([callback = std::move(pending->callback), result = std::move(result)]() mutable { callback(std::move(result)); });
}

}
