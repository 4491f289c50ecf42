#include "amaranthhall/http/server.hpp"

#include "amaranthhall/kernel/socket.hpp"

#include <algorithm>
#include <cctype>
#include <event2/buffer.h>
#include <evhtp/evhtp.h>
#include <stdexcept>
#include <utility>

namespace amaranthhall::http {

namespace {

    constexpr int listenBacklog = 1024;

    /// A request that has not been answered yet; `request` is reset when libevhtp finishes the request, for example because the client disconnected.
    struct PendingResponse {
        evhtp_request_t* request { nullptr };
    };

    std::string toLowerCase(std::string_view text)
    {
        std::string lowerCaseText(text);
        std::transform(lowerCaseText.begin(), lowerCaseText.end(), lowerCaseText.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return lowerCaseText;
    }

    std::string methodName(htp_method method)
    {
        switch (method) {
        case htp_method_GET:
            return "GET";
        case htp_method_POST:
            return "POST";
        case htp_method_PUT:
            return "PUT";
        case htp_method_DELETE:
            return "DELETE";
        default:
            return "OTHER";
        }
    }

    int addHeader(evhtp_kv_t* field, void* argument)
    {
        auto& headers = *static_cast<std::vector<Header>*>(argument);
        headers.push_back({ .name = toLowerCase({ field->key, field->klen }), .value = std::string(field->val, field->vlen) });
        return 0;
    }

    Request readRequest(evhtp_request_t* native)
    {
        Request request { .method = methodName(evhtp_request_get_method(native)) };
        if (native->uri && native->uri->path && native->uri->path->full)
            request.path = native->uri->path->full;
        if (native->uri && native->uri->query_raw)
            request.query = reinterpret_cast<const char*>(native->uri->query_raw);
        evhtp_kvs_for_each(native->headers_in, addHeader, &request.headers);
        request.body.resize(evbuffer_get_length(native->buffer_in));
        evbuffer_copyout(native->buffer_in, request.body.data(), request.body.size());
        return request;
    }

    void writeResponse(evhtp_request_t* native, const Response& response)
    {
        for (const auto& header : response.headers)
            evhtp_headers_add_header(native->headers_out, evhtp_header_new(header.name.c_str(), header.value.c_str(), 1, 1));
        evbuffer_add(native->buffer_out, response.body.data(), response.body.size());
        evhtp_send_reply(native, static_cast<evhtp_res>(response.status));
    }

    evhtp_res onRequestFinished(evhtp_request_t*, void* argument)
    {
        const std::unique_ptr<std::shared_ptr<PendingResponse>> pending(static_cast<std::shared_ptr<PendingResponse>*>(argument));
        (*pending)->request = nullptr;
        return EVHTP_RES_OK;
    }

    void serve(evhtp_request_t* native, void* argument)
    {
        const auto& server = *static_cast<const Server*>(argument);
        const auto request = readRequest(native);
        const auto* handler = server.findHandler(request.path);
        if (!handler) {
            writeResponse(native, { .status = 404, .body = "{\"error\":\"no such path\"}\n" });
            return;
        }
        const auto pending = std::make_shared<PendingResponse>(PendingResponse { .request = native });
        const auto isInsideHandler = std::make_shared<bool>(true);
        auto* hookArgument = new std::shared_ptr<PendingResponse>(pending);
        evhtp_request_set_hook(native, evhtp_hook_on_request_fini, reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(onRequestFinished)), hookArgument);
        (*handler)(request, [pending, isInsideHandler](const Response& response) {
            auto* activeRequest = std::exchange(pending->request, nullptr);
            if (!activeRequest)
                return;
            if (!*isInsideHandler)
                evhtp_request_resume(activeRequest);
            writeResponse(activeRequest, response);
        });
        *isInsideHandler = false;
        if (pending->request)
            evhtp_request_pause(native);
    }

}

struct Server::Native {
    evhtp_t* handle { nullptr };

    Native() = default;
    Native(const Native&) = delete;
    Native& operator=(const Native&) = delete;
    ~Native()
    {
        if (!this->handle)
            return;
        evhtp_unbind_socket(this->handle);
        evhtp_free(this->handle);
    }
};

Server::Server(kernel::Loop& loop, const ServerOptions& options)
    : native(std::make_unique<Native>())
{
    auto socket = kernel::listenOn(options.listen);
    this->boundPort = kernel::boundPort(socket);
    this->native->handle = evhtp_new(loop.base(), nullptr);
    evhtp_set_max_body_size(this->native->handle, options.maximumBodySize);
    evhtp_set_gencb(this->native->handle, serve, this);
    if (evhtp_accept_socket(this->native->handle, socket.release(), listenBacklog) != 0)
        throw std::runtime_error("HTTP server failed to accept connections on the listening socket");
}

Server::~Server() = default;

void Server::route(std::string path, Handler handler)
{
    this->routes.push_back({ .path = std::move(path), .handler = std::move(handler) });
}

const Handler* Server::findHandler(std::string_view path) const noexcept
{
    const Route* longestMatch = nullptr;
    for (const auto& candidate : this->routes) {
        if (candidate.path == path)
            return &candidate.handler;
        const bool isPrefixMatch = candidate.path.back() == '/' && path.starts_with(candidate.path);
        if (isPrefixMatch && (!longestMatch || candidate.path.size() > longestMatch->path.size()))
            longestMatch = &candidate;
    }
    return longestMatch ? &longestMatch->handler : nullptr;
}

}
