#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

/// @brief Stand-ins of the platform, its databases and its callers for the cases 6 to 10.
namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// @brief Single-threaded event loop: sockets by poll(), timers, the real clock.
class Loop {
public:
    using Callback = std::function<void()>;

    [[nodiscard]] static Time now() { return Clock::now(); }

    std::uint64_t after(Clock::duration delay, Callback callback)
    {
        const auto id = ++this->lastTimer;
        this->timers.emplace(std::pair(now() + std::max(delay, Clock::duration::zero()), id), std::move(callback));
        return id;
    }

    void watch(int descriptor, std::function<void(short)> callback) { this->watches[descriptor] = { .callback = std::make_shared<std::function<void(short)>>(std::move(callback)) }; }
    void wantWrite(int descriptor, bool wanted) { this->watches[descriptor].wantsWrite = wanted; }
    void unwatch(int descriptor) { this->watches.erase(descriptor); }

    /// @brief Runs until a condition holds or the time is over; returns whether it holds.
    bool runUntil(const std::function<bool()>& condition, Clock::duration limit)
    {
        const auto end = now() + limit;
        while (!condition()) {
            if (now() >= end)
                return false;
            this->turn(std::min<Clock::duration>(end - now(), std::chrono::milliseconds(50)));
        }
        return true;
    }

    void runFor(Clock::duration duration)
    {
        this->runUntil([] { return false; }, duration);
    }

private:
    struct Watch {
        std::shared_ptr<std::function<void(short)>> callback;
        bool wantsWrite { false };
    };

    void turn(Clock::duration longest)
    {
        auto wait = longest;
        if (!this->timers.empty())
            wait = std::min<Clock::duration>(wait, this->timers.begin()->first.first - now());
        std::vector<pollfd> polled;
        for (const auto& [descriptor, watch] : this->watches)
            polled.push_back({ .fd = descriptor, .events = static_cast<short>(POLLIN | (watch.wantsWrite ? POLLOUT : 0)), .revents = 0 });
        const timespec timeout { .tv_sec = 0, .tv_nsec = std::max<long>(0, std::chrono::duration_cast<std::chrono::nanoseconds>(wait).count()) };
        ppoll(polled.data(), polled.size(), &timeout, nullptr);
        for (const auto& item : polled) {
            const auto found = this->watches.find(item.fd);
            if (item.revents == 0 || found == this->watches.end())
                continue;
            const auto callback = found->second.callback;
            (*callback)(item.revents);
        }
        const auto due = now();
        while (!this->timers.empty() && this->timers.begin()->first.first <= due) {
            const auto callback = std::move(this->timers.begin()->second);
            this->timers.erase(this->timers.begin());
            callback();
        }
    }

    std::map<int, Watch> watches;
    std::map<std::pair<Time, std::uint64_t>, Callback> timers;
    std::uint64_t lastTimer { 0 };
};

inline sockaddr_in socketAddress(const std::string& host, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("no address: " + host);
    return address;
}

/// @brief A connection; `received` gets the whole buffer and removes what it has read.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Loop& usedLoop, int usedDescriptor)
        : loop(usedLoop)
        , descriptor(usedDescriptor)
    {
        const int on = 1;
        setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        fcntl(this->descriptor, F_SETFL, O_NONBLOCK);
        fcntl(this->descriptor, F_SETFD, FD_CLOEXEC);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { this->close(); }

    void start()
    {
        this->loop.watch(this->descriptor, [weak = this->weak_from_this()](short events) {
            if (const auto self = weak.lock())
                self->onEvents(events);
        });
    }

    void write(std::string_view bytes)
    {
        if (this->descriptor < 0)
            return;
        this->output.append(bytes);
        this->flush();
    }

    /// @brief Closes without a callback.
    void close()
    {
        if (this->descriptor < 0)
            return;
        this->loop.unwatch(this->descriptor);
        ::close(std::exchange(this->descriptor, -1));
    }

    [[nodiscard]] bool isOpen() const { return this->descriptor >= 0; }

    std::string input;
    std::function<void()> received;
    std::function<void()> closed;

private:
    void onEvents(short events)
    {
        const auto self = this->shared_from_this();
        if ((events & POLLOUT) != 0)
            this->flush();
        if ((events & (POLLIN | POLLHUP | POLLERR)) == 0 || this->descriptor < 0)
            return;
        char buffer[65536];
        const auto count = recv(this->descriptor, buffer, sizeof(buffer), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (count <= 0) {
            this->close();
            if (this->closed)
                this->closed();
            return;
        }
        this->input.append(buffer, static_cast<std::size_t>(count));
        if (this->received)
            this->received();
    }

    void flush()
    {
        const auto count = send(this->descriptor, this->output.data(), this->output.size(), MSG_NOSIGNAL);
        if (count > 0)
            this->output.erase(0, static_cast<std::size_t>(count));
        this->loop.wantWrite(this->descriptor, !this->output.empty() && (count >= 0 || errno == EAGAIN));
    }

    Loop& loop;
    int descriptor;
    std::string output;
};

/// @brief Accepts connections at a loopback address.
class Listener {
public:
    Listener(Loop& usedLoop, const std::string& host, std::uint16_t wantedPort, std::function<void(std::shared_ptr<Connection>)> accepted)
        : loop(usedLoop)
        , descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = socketAddress(host, wantedPort);
        if (bind(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(this->descriptor, 1024) != 0)
            throw std::runtime_error("cannot listen on " + host + ": " + std::strerror(errno));
        socklen_t length = sizeof(address);
        getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length);
        this->port = ntohs(address.sin_port);
        this->loop.watch(this->descriptor, [this, accepted = std::move(accepted)](short) {
            for (;;) {
                const int socket = accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (socket < 0)
                    return;
                auto connection = std::make_shared<Connection>(this->loop, socket);
                accepted(connection);
                connection->start();
            }
        });
    }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    ~Listener()
    {
        this->loop.unwatch(this->descriptor);
        ::close(this->descriptor);
    }

    std::uint16_t port { 0 };

private:
    Loop& loop;
    int descriptor;
};

/// @brief Connects to a loopback address; empty if nothing listens there.
inline std::shared_ptr<Connection> connectTo(Loop& loop, const std::string& host, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress(host, port);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    auto connection = std::make_shared<Connection>(loop, descriptor);
    connection->start();
    return connection;
}

/// @brief Removes and returns the next line that CR LF ends.
inline bool takeLine(std::string& input, std::string& line)
{
    const auto end = input.find("\r\n");
    if (end == std::string::npos)
        return false;
    line = input.substr(0, end);
    input.erase(0, end + 2);
    return true;
}

/// @brief Removes and returns the first word of a text.
inline std::string takeWord(std::string& text)
{
    const auto blank = text.find(' ');
    auto word = text.substr(0, blank);
    text = blank == std::string::npos ? std::string() : text.substr(blank + 1);
    return word;
}

}
