#include "amaranthhall/relay/relay_client.hpp"

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/kernel/round_trip.hpp"
#include "amaranthhall/relay/frame.hpp"
#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace amaranthhall::relay {

namespace {

    using namespace std::chrono_literals;
    using engine::RelayedReply;

    constexpr Duration connectTimeout = 300ms; // connecting takes about 2 ms within a zone or between two
    constexpr retry::BackoffOptions stallBackoff { .first = 1s, .limit = 4s }; // grows with consecutive stalls
    constexpr retry::BackoffOptions reconnectBackoff { .first = 200ms, .limit = 1s };
    constexpr Duration roundTripInterval = 1s; // reading it takes a system call
    constexpr Duration reconnectInterest = 10s; // no reconnection to a daemon that was not asked for within this time

}

/**
 * @brief The connection to one daemon.
 *
 * After a connection failure, or a stall (no data while replies are outstanding), it reconnects in the background, so that no
 * caller's statement is used as a probe. Until then the daemon is avoided.
 */
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
    RelayConnection(kernel::Loop& usedLoop, std::string usedVm, kernel::Address usedAddress, std::string_view usedZone, telemetry::ZoneTraffic* usedTraffic)
        : vm(std::move(usedVm))
        , address(std::move(usedAddress))
        , zone(usedZone)
        , loop(usedLoop)
        , traffic(usedTraffic)
    {
    }

    [[nodiscard]] std::uint64_t openStream()
    {
        this->lastRequestedAt = this->loop.now();
        this->connect();
        return ++this->lastStreamId;
    }

    void send(std::uint64_t stream, const engine::RelayedRequest& request, engine::RelayStream::Done done)
    {
        this->connect();
        if (this->pendingReplies.empty())
            this->lastReceivedAt = this->loop.now();
        this->pendingReplies[stream] = std::move(done);
        this->writeStatement({ .stream = stream, .request = request });
    }

    void closeStream(std::uint64_t stream)
    {
        this->pendingReplies.erase(stream);
        if (this->stream || this->isConnecting)
            this->write(EndFrame { .stream = stream });
        if (this->isStalled && this->isIdle())
            this->closeStalledLater();
    }

    /// @brief Returns a number that changes when the connection is lost; streams of an earlier generation are gone.
    [[nodiscard]] std::uint64_t generation() const noexcept { return this->lostConnections; }

    /// @brief Reports a lost connection to a statement, on a later turn of the event loop.
    void reportLostLater(engine::RelayStream::Done done)
    {
        this->loop.post([done = std::move(done)] { done(RelayedReply { .reply = { .lost = true } }); });
    }

    void noteStall()
    {
        if (std::exchange(this->isStalled, true))
            return;
        this->avoidUntil = this->loop.now() + retry::backoffDelay(stallBackoff, this->consecutiveStalls);
        ++this->consecutiveStalls;
    }

    [[nodiscard]] Duration silence(Time now) const noexcept
    {
        return this->pendingReplies.empty() ? Duration::zero() : now - this->lastReceivedAt;
    }

    void addOpenStream() noexcept { ++this->openStreams; }
    void removeOpenStream() noexcept { --this->openStreams; }

    /// @brief Returns the number of unfinished statements and transactions, including transactions idle between two statements.
    [[nodiscard]] std::size_t outstanding() const noexcept { return this->openStreams; }

    /// @brief Returns whether the connection is not known to work. The call also counts as interest in the daemon and keeps reconnection going.
    [[nodiscard]] bool isAvoided(Time now) noexcept
    {
        this->lastRequestedAt = now;
        return this->isDown || this->isStalled || this->avoidUntil > now;
    }

    std::string vm;
    kernel::Address address;
    std::string zone;

private:
    /// Returns whether no reply is outstanding and no transaction is open. Closing the connection would lose an idle transaction.
    [[nodiscard]] bool isIdle() const noexcept { return this->pendingReplies.empty() && this->openStreams == 0; }

    /// Closes an idle stalled connection on a later turn of the event loop, as one of its streams may be the caller.
    void closeStalledLater()
    {
        this->loop.post([weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->isStalled && self->isIdle())
                self->fail();
        });
    }

    void scheduleReconnect()
    {
        this->reconnect = this->loop.after(retry::backoffDelay(reconnectBackoff, this->reconnectAttempts++), [this] {
            if (this->loop.now() - this->lastRequestedAt < reconnectInterest)
                this->connect();
            else
                this->isDown = false;
        });
    }

    void connect()
    {
        if (this->stream || this->isConnecting)
            return;
        this->reconnect.reset();
        this->socket = kernel::connectTo(this->address);
        this->isConnecting = true;
        this->unsentBytes.clear();
        this->reader = FrameReader();
        this->readsContexts = false;
        this->contexts = {};
        this->timer = this->loop.after(this->socket ? connectTimeout : Duration::zero(), [this] { this->fail(); });
        if (this->socket)
            this->watch = this->loop.watch(this->socket.descriptor(), { .writable = true }, [this](auto) { this->onConnected(); });
    }

    void onConnected()
    {
        this->watch.reset();
        const auto error = kernel::connectError(this->socket);
        if (error != 0) {
            this->fail();
            return;
        }
        this->timer.reset();
        this->isConnecting = false;
        this->isDown = false;
        this->reconnectAttempts = 0;
        kernel::ByteStream::Callbacks callbacks {
            .received = [this](auto bytes) { this->receive(bytes); },
            .closed = [this, weak = this->weak_from_this(), id = ++this->connectionId] {
                if (!weak.expired() && id == this->connectionId)
                    this->fail(); },
        };
        this->stream = std::make_unique<kernel::ByteStream>(this->loop, std::move(this->socket), std::move(callbacks));
        this->stream->write(std::exchange(this->unsentBytes, {}));
    }

    void writeStatement(const StatementFrame& frame)
    {
        std::string bytes;
        if (this->readsContexts)
            appendFrame(bytes, frame, this->contexts);
        else
            appendFrame(bytes, frame);
        this->writeBytes(bytes);
    }

    void write(const Frame& frame)
    {
        std::string bytes;
        appendFrame(bytes, frame);
        this->writeBytes(bytes);
    }

    void writeBytes(std::string_view bytes)
    {
        if (this->traffic)
            this->traffic->bytes(telemetry::TrafficKind::Relay, this->zone).sent += bytes.size();
        if (this->stream)
            this->stream->write(bytes);
        else
            this->unsentBytes += bytes;
    }

    void receive(std::string_view bytes)
    {
        this->measure(bytes.size());
        this->lastReceivedAt = this->loop.now();
        this->isStalled = false;
        this->consecutiveStalls = 0;
        this->reader.append(bytes);
        const auto self = this->shared_from_this();
        while (auto frame = this->reader.next()) {
            const auto* keepalive = std::get_if<KeepaliveFrame>(&*frame);
            if (keepalive && keepalive->contextVersion > 0)
                this->readsContexts = true;
            auto* answer = std::get_if<ReplyFrame>(&*frame);
            if (!answer)
                continue;
            const auto found = this->pendingReplies.find(answer->stream);
            if (found == this->pendingReplies.end())
                continue;
            const auto done = std::move(found->second);
            this->pendingReplies.erase(found);
            done(std::move(answer->reply));
        }
        if (this->reader.isMalformed())
            this->fail();
    }

    /// Counts received bytes, and takes the round-trip time from the connection from time to time.
    void measure(std::size_t received)
    {
        if (!this->traffic)
            return;
        this->traffic->bytes(telemetry::TrafficKind::Relay, this->zone).received += received;
        const auto now = this->loop.now();
        if (now - this->measuredAt < roundTripInterval)
            return;
        this->measuredAt = now;
        if (const auto roundTrip = kernel::minimumRoundTrip(this->stream->connection()))
            this->traffic->noteRoundTrip(this->zone, *roundTrip);
    }

    void fail()
    {
        telemetry::logEvent(telemetry::LogLevel::Info, "relay.lost", { { "vm", this->vm }, { "outstanding", this->pendingReplies.size() } });
        ++this->connectionId;
        ++this->lostConnections;
        this->isStalled = false;
        this->isDown = true;
        this->timer.reset();
        this->watch.reset();
        this->socket.close();
        this->isConnecting = false;
        // The byte stream may be the caller, so it is destroyed on a later turn of the event loop.
        this->loop.post([held = std::shared_ptr<kernel::ByteStream>(std::move(this->stream))] {});
        const auto self = this->shared_from_this();
        for (auto& [streamId, done] : std::exchange(this->pendingReplies, {}))
            done(RelayedReply { .reply = { .lost = true } });
        this->scheduleReconnect();
    }

    kernel::Loop& loop;
    telemetry::ZoneTraffic* traffic;
    kernel::Socket socket;
    kernel::Registration watch;
    kernel::Registration timer;
    kernel::Registration reconnect;
    std::unique_ptr<kernel::ByteStream> stream;
    std::string unsentBytes; ///< Frames queued until the connection is established.
    FrameReader reader;
    ContextSender contexts;
    std::map<std::uint64_t, engine::RelayStream::Done> pendingReplies; ///< By stream ID.
    std::uint64_t lastStreamId { 0 };
    std::size_t openStreams { 0 };
    std::uint64_t connectionId { 0 };
    std::uint64_t lostConnections { 0 };
    Time lastReceivedAt;
    Time avoidUntil;
    Time measuredAt; ///< When the round-trip time was last read.
    Time lastRequestedAt;
    unsigned consecutiveStalls { 0 }; ///< Since data was last received.
    unsigned reconnectAttempts { 0 }; ///< Since the last successful connection.
    bool isConnecting { false };
    bool readsContexts { false }; ///< The other daemon has said on this connection that it reads frames with contexts.
    bool isDown { false }; ///< The last connection failed.
    bool isStalled { false }; ///< Replies are outstanding, and no data arrives.
};

namespace {

    class ClientStream final : public engine::RelayStream {
    public:
        explicit ClientStream(std::shared_ptr<RelayConnection> usedConnection)
            : connection(std::move(usedConnection))
            , streamId(this->connection->openStream())
        {
        }

        ~ClientStream() override
        {
            if (!this->isOpen)
                return;
            this->connection->removeOpenStream();
            this->connection->closeStream(this->streamId);
        }

        void send(const engine::RelayedRequest& request, Done done) override
        {
            if (!std::exchange(this->isOpen, true)) {
                this->connection->addOpenStream();
                this->generation = this->connection->generation();
            }
            if (this->generation != this->connection->generation()) {
                // The transaction was lost with its connection; on a new connection the statement would run outside of a transaction.
                this->connection->reportLostLater(std::move(done));
                return;
            }
            this->connection->send(this->streamId, request, std::move(done));
        }

        [[nodiscard]] const std::string& vm() const noexcept override { return this->connection->vm; }
        [[nodiscard]] Duration silence(Time now) const noexcept override { return this->connection->silence(now); }
        void noteStall() override { this->connection->noteStall(); }

    private:
        std::shared_ptr<RelayConnection> connection;
        std::uint64_t streamId;
        std::uint64_t generation { 0 }; ///< Of the connection that carries the stream.
        bool isOpen { false };
    };

}

RelayClient::RelayClient(kernel::Loop& usedLoop, telemetry::ZoneTraffic* usedTraffic)
    : loop(usedLoop)
    , traffic(usedTraffic)
{
}

RelayClient::~RelayClient() = default;

std::unique_ptr<engine::RelayStream> RelayClient::open(const std::string& vm, const kernel::Address& address, std::string_view zone)
{
    auto& connection = this->connections[vm];
    if (!connection || connection->address != address || connection->zone != zone)
        connection = std::make_shared<RelayConnection>(this->loop, vm, address, zone, this->traffic);
    return std::make_unique<ClientStream>(connection);
}

std::size_t RelayClient::outstanding(const std::string& vm) const noexcept
{
    const auto found = this->connections.find(vm);
    return found == this->connections.end() ? 0 : found->second->outstanding();
}

bool RelayClient::isAvoided(const std::string& vm, Time now) noexcept
{
    const auto found = this->connections.find(vm);
    return found != this->connections.end() && found->second->isAvoided(now);
}

}
