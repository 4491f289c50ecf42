#pragma once

// A small HTTP/1.1 server: one thread a connection.

#include "net.hpp"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <thread>

namespace review {

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct HttpResponse {
    int status { 200 };
    std::string body {};
};

inline std::string decodeUrl(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16)));
            i += 2;
        } else
            out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return out;
}

class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    HttpServer(Endpoint usedEndpoint, Handler usedHandler)
        : endpoint(std::move(usedEndpoint))
        , handler(std::move(usedHandler))
        , listener(listenOn(this->endpoint))
    {
        std::thread([this] {
            while (true) {
                auto socket = acceptFrom(this->listener);
                if (!socket)
                    return;
                std::thread([this, connection = std::make_shared<Socket>(std::move(socket))] { this->serve(*connection); }).detach();
            }
        }).detach();
    }

    [[nodiscard]] const Endpoint& address() const { return this->endpoint; }

private:
    static std::optional<HttpRequest> read(Reader& reader)
    {
        const auto first = reader.line();
        if (!first)
            return std::nullopt;
        HttpRequest request;
        const auto blank = first->find(' ');
        const auto second = first->find(' ', blank + 1);
        if (blank == std::string::npos || second == std::string::npos)
            return std::nullopt;
        request.method = first->substr(0, blank);
        const auto target = first->substr(blank + 1, second - blank - 1);
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        if (mark != std::string::npos)
            parseQuery(request, target.substr(mark + 1));
        while (true) {
            const auto line = reader.line();
            if (!line)
                return std::nullopt;
            if (line->empty())
                break;
            const auto colon = line->find(':');
            auto name = line->substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
            request.headers[name] = line->substr(std::min(line->size(), line->find_first_not_of(' ', colon + 1)));
        }
        const auto length = request.headers.find("content-length");
        if (length == request.headers.end())
            return request;
        auto body = reader.body(static_cast<std::size_t>(std::atoll(length->second.c_str())));
        if (!body)
            return std::nullopt;
        request.body = *std::move(body);
        return request;
    }

    static void parseQuery(HttpRequest& request, std::string_view text)
    {
        while (!text.empty()) {
            const auto part = text.substr(0, text.find('&'));
            text.remove_prefix(std::min(text.size(), part.size() + 1));
            const auto equals = part.find('=');
            if (equals != std::string_view::npos)
                request.query[decodeUrl(part.substr(0, equals))] = decodeUrl(part.substr(equals + 1));
        }
    }

    void serve(const Socket& socket)
    {
        Reader reader(socket);
        while (const auto request = read(reader)) {
            const auto response = this->handler(*request);
            const auto head = "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
            if (!sendAll(socket, head + response.body))
                return;
        }
    }

    Endpoint endpoint;
    Handler handler;
    Socket listener;
};

/// Sends a GET request and returns the status; 0 if there is no answer in time.
inline int httpStatus(const Endpoint& to, const std::string& path, Milliseconds timeout)
{
    const auto socket = connectTo(to);
    if (!socket || !sendAll(socket, "GET " + path + " HTTP/1.1\r\nHost: " + to.text() + "\r\n\r\n"))
        return 0;
    Reader reader(socket);
    const auto line = reader.line(Clock::now() + timeout);
    return line && line->size() > 12 ? std::atoi(line->c_str() + 9) : 0;
}

}
