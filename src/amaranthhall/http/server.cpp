#include "amaranthhall/http/server.hpp"

#include "amaranthhall/kernel/socket.hpp"

#include <algorithm>
#include <cctype>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <list>
#include <stdexcept>
#include <utility>

namespace amaranthhall::http {

namespace {

    constexpr int listenBacklog = 1024;
    constexpr std::size_t headerOverhead = 64; // bytes that libevhtp keeps for a header besides its text
    constexpr Duration shortestQuiet = std::chrono::seconds(1); // a connection that makes room sooner had no chance to send a request
    constexpr Duration pauseWithoutDescriptors = std::chrono::milliseconds(100);

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

/// libevhtp's server, and the connections of a server with limits.
struct Server::Native {
    struct Tracked {
        Native* owner { nullptr };
        evhtp_connection_t* connection { nullptr };
        std::size_t headerBytes { 0 }; ///< Of the request that is being read.
        Time activeAt;
        std::list<std::unique_ptr<Tracked>>::iterator place;
    };

    explicit Native(kernel::Loop& usedLoop)
        : loop(usedLoop)
    {
    }
    Native(const Native&) = delete;
    Native& operator=(const Native&) = delete;
    ~Native()
    {
        if (!this->handle)
            return;
        evhtp_unbind_socket(this->handle);
        // The hooks of a connection that outlived the server would use freed memory.
        while (!this->connections.empty())
            evhtp_connection_free(this->connections.front()->connection);
        evhtp_free(this->handle);
    }

    void applyLimits(const ServerLimits& used)
    {
        this->limits = used;
        const timeval readTimeout { .tv_sec = used.readTimeout.count(), .tv_usec = 0 };
        const timeval writeTimeout { .tv_sec = used.writeTimeout.count(), .tv_usec = 0 };
        evhtp_set_timeouts(this->handle, &readTimeout, &writeTimeout);
        evhtp_set_post_accept_cb(this->handle, onAccepted, this);
    }

    /// Pauses accepting while the process has no descriptor left, as the listener stays readable.
    void pauseOnErrors()
    {
        this->handle->arg = this;
        evconnlistener_set_error_cb(this->handle->server, [](evconnlistener* listener, void* server) {
            auto& native = *static_cast<Native*>(static_cast<evhtp_t*>(server)->arg);
            evconnlistener_disable(listener);
            native.pause = native.loop.after(pauseWithoutDescriptors, [listener] { evconnlistener_enable(listener); });
        });
    }

    /// Returns whether a connection may stay; at the limit, the one that has been quiet for longest is closed.
    [[nodiscard]] bool makeRoom(Time now)
    {
        if (this->connections.size() < this->limits.connections)
            return true;
        const auto& quietest = *this->connections.front();
        const bool mayReplace = now - quietest.activeAt >= shortestQuiet;
        if (this->limits.refused)
            this->limits.refused(mayReplace ? "replaced" : "too_many_connections");
        if (mayReplace)
            evhtp_connection_free(quietest.connection);
        return mayReplace;
    }

    static evhtp_res onAccepted(evhtp_connection_t* connection, void* argument)
    {
        auto& native = *static_cast<Native*>(argument);
        const auto now = native.loop.now();
        if (!native.makeRoom(now))
            return EVHTP_RES_ERROR;
        auto& tracked = *native.connections.emplace_back(std::make_unique<Tracked>(Tracked { .owner = &native, .connection = connection, .activeAt = now }));
        tracked.place = std::prev(native.connections.end());
        const auto hook = [&](evhtp_hook_type type, auto* function) { evhtp_connection_set_hook(connection, type, reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(function)), &tracked); };
        hook(evhtp_hook_on_header, onHeader);
        hook(evhtp_hook_on_headers, onHeaders);
        hook(evhtp_hook_on_connection_fini, onConnectionFinished);
        return EVHTP_RES_OK;
    }

    static evhtp_res onHeader(evhtp_request_t*, evhtp_header_t* header, void* argument)
    {
        auto& tracked = *static_cast<Tracked*>(argument);
        auto& native = *tracked.owner;
        tracked.headerBytes += header->klen + header->vlen + headerOverhead;
        if (tracked.headerBytes <= native.limits.headerBytes)
            return EVHTP_RES_OK;
        if (native.limits.refused)
            native.limits.refused("headers_too_long");
        return EVHTP_RES_DATA_TOO_LONG;
    }

    static evhtp_res onHeaders(evhtp_request_t*, evhtp_headers_t*, void* argument)
    {
        auto& tracked = *static_cast<Tracked*>(argument);
        auto& native = *tracked.owner;
        tracked.headerBytes = 0;
        tracked.activeAt = native.loop.now();
        native.connections.splice(native.connections.end(), native.connections, tracked.place);
        return EVHTP_RES_OK;
    }

    static evhtp_res onConnectionFinished(evhtp_connection_t*, void* argument)
    {
        auto& tracked = *static_cast<Tracked*>(argument);
        tracked.owner->connections.erase(tracked.place);
        return EVHTP_RES_OK;
    }

    kernel::Loop& loop;
    evhtp_t* handle { nullptr };
    ServerLimits limits;
    std::list<std::unique_ptr<Tracked>> connections; ///< The one that has been quiet for longest first; empty without limits.
    kernel::Registration pause;
};

Server::Server(kernel::Loop& loop, const ServerOptions& options)
    : native(std::make_unique<Native>(loop))
{
    auto socket = kernel::listenOn(options.listen);
    this->boundPort = kernel::boundPort(socket);
    this->native->handle = evhtp_new(loop.base(), nullptr);
    evhtp_set_max_body_size(this->native->handle, options.maximumBodySize);
    evhtp_set_gencb(this->native->handle, serve, this);
    if (options.limits)
        this->native->applyLimits(*options.limits);
    if (evhtp_accept_socket(this->native->handle, socket.release(), listenBacklog) != 0)
        throw std::runtime_error("HTTP server failed to accept connections on the listening socket");
    this->native->pauseOnErrors();
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
