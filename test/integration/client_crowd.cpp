#include "client_crowd.hpp"

#include <algorithm>
#include <array>
#include <sys/socket.h>
#include <utility>

namespace amaranthhall::integration {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickInterval = 5ms;
    constexpr Duration pollInterval = 5ms;
    constexpr int smallReceiveBuffer = 4096; // a client that does not read takes as little as possible into its own socket

    kernel::Socket connectClient(const ClientScript& script)
    {
        auto socket = kernel::connectTo(script.to);
        if (!script.reads)
            setsockopt(socket.descriptor(), SOL_SOCKET, SO_RCVBUF, &smallReceiveBuffer, sizeof(smallReceiveBuffer));
        return socket;
    }

}

class ClientCrowd::Client {
public:
    explicit Client(ClientCrowd& usedCrowd)
        : crowd(usedCrowd)
        , stream(usedCrowd.loop, connectClient(usedCrowd.script), { .received = [this](auto bytes) { this->crowd.received += bytes.size(); }, .closed = [this, living = std::weak_ptr(this->alive)] { if (!living.expired()) this->crowd.remove(this); } })
    {
        const auto& script = this->crowd.script;
        if (!script.reads)
            this->stream.pauseReading();
        if (script.piece == 0) {
            this->stream.write(script.bytes);
            this->sent = script.bytes.size();
        }
    }

    void tick()
    {
        const auto& script = this->crowd.script;
        if (this->sent < script.bytes.size() && this->stream.buffered() == 0) {
            this->stream.write(std::string_view(script.bytes).substr(this->sent, script.piece));
            this->sent = std::min(script.bytes.size(), this->sent + script.piece);
        } else if (!script.endless.empty() && this->stream.buffered() == 0)
            this->stream.write(script.endless);
        std::array<char, smallReceiveBuffer> buffer {};
        if (script.readsPerTick > 0)
            static_cast<void>(recv(this->stream.connection().descriptor(), buffer.data(), std::min(script.readsPerTick, buffer.size()), MSG_DONTWAIT));
    }

    [[nodiscard]] std::uint64_t progress() const noexcept { return this->sent - this->stream.buffered(); }

private:
    ClientCrowd& crowd;
    std::shared_ptr<int> alive { std::make_shared<int>(0) };
    std::size_t sent { 0 };
    kernel::ByteStream stream;
};

ClientCrowd::ClientCrowd(kernel::Loop& usedLoop, ClientScript usedScript, std::size_t count)
    : loop(usedLoop)
    , script(std::move(usedScript))
    , returnsLeft(this->script.returns)
    , ticks(usedLoop.every(tickInterval, [this] { this->tick(); }))
{
    for (std::size_t i = 0; i < count; ++i)
        this->connect();
}

ClientCrowd::~ClientCrowd() = default;

void ClientCrowd::connect()
{
    ++this->connected;
    this->clients.push_back(std::make_unique<Client>(*this));
}

void ClientCrowd::tick()
{
    for (const auto& client : this->clients)
        client->tick();
}

void ClientCrowd::remove(const Client* client)
{
    this->clients.remove_if([client](const auto& other) { return other.get() == client; });
    if (this->returnsLeft == 0)
        return;
    --this->returnsLeft;
    this->connect();
}

std::uint64_t ClientCrowd::progress() const noexcept
{
    auto total = this->received + this->connected;
    for (const auto& client : this->clients)
        total += client->progress();
    return total;
}

OrdinarySession::OrdinarySession(kernel::Loop& usedLoop, const kernel::Address& to)
    : loop(usedLoop)
    , stream(usedLoop, kernel::connectTo(to), { .received = [this](auto bytes) { this->answer.append(bytes); }, .closed = [closed = this->isClosed] { *closed = true; } })
{
}

bool OrdinarySession::awaitReady(Duration longestWait)
{
    const auto until = this->loop.now() + longestWait;
    while (this->loop.now() < until && !*this->isClosed) {
        if (this->answer.find("READY ") != std::string::npos && this->answer.ends_with("\r\n"))
            return this->answer.find("ERROR ") == std::string::npos;
        const auto wake = this->loop.after(pollInterval, [this] { this->loop.stop(); });
        this->loop.run();
    }
    return false;
}

bool OrdinarySession::run(std::string_view statement, Duration longestWait)
{
    if (!std::exchange(this->isStarted, true)) {
        this->stream.write("STARTUP db -\r\n");
        if (!this->awaitReady(longestWait))
            return false;
    }
    this->answer.clear();
    this->stream.write(std::string("QUERY ordinary ").append(statement).append("\r\n"));
    return this->awaitReady(longestWait) && this->answer.find("COMPLETE ") != std::string::npos;
}

}
