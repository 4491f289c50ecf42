#include "amaranthhall/relay/relay_server.hpp"

#include "amaranthhall/budget/io/budget_guard.hpp"
#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/relay/frame.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>
#include <vector>

namespace amaranthhall::relay {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view shutdownReason = "shutting down";
    constexpr std::size_t maximumIncomplete = 64U << 10U; // bytes of a frame that arrive without a slot for large messages
    constexpr std::size_t incompleteUnderPressure = 16U << 10U; // the same when memory is scarce
    constexpr std::size_t maximumHeld = 8U << 20U; // bytes of statements and replies of one daemon; beyond, it is not read until some are answered, so that it holds what its callers send
    constexpr std::size_t heldUnderPressure = 1U << 20U; // the same when memory is scarce
    constexpr std::size_t heldWhenNearlyFull = 64U << 10U; // the same when connections are closed for lack of memory
    constexpr std::size_t connectionCost = 4096; // bytes of a connection without anything in it
    constexpr std::size_t streamCost = 2048; // bytes of a stream besides its statement
    constexpr std::size_t replacedAtOnce = 8; // idle connections that make room for new ones at a time
    constexpr Duration replacementInterval = 100ms;
    constexpr Duration keepaliveInterval = 50ms; // a third of the silence after which the other daemon tries another home

    budget::Account* accountOf(const engine::SessionContext& context)
    {
        return context.guard ? &context.guard->account() : nullptr;
    }

    /// Returns the bytes of statements and replies in progress at which a daemon is no longer read.
    std::size_t findMaximumHeld(const budget::Account& account)
    {
        if (account.isNearlyFull())
            return heldWhenNearlyFull;
        return account.isUnderPressure() ? heldUnderPressure : maximumHeld;
    }

    std::size_t sizeOf(const engine::RelayedRequest& request)
    {
        auto size = streamCost + request.request.text.size() + request.request.value.size() + (request.prepared ? request.prepared->shape.size() : 0);
        for (const auto& [name, value] : request.settings)
            size += name.size() + value.size();
        return size;
    }

    /// Runs the statements of one stream in a session of its own and sends the replies back.
    class ServedStream final : public engine::CallerChannel {
    public:
        using ReplyHandler = std::function<void(engine::RelayedReply)>;

        ServedStream(engine::SessionContext& context, ReplyHandler usedSendRelayedReply)
            : session(context, *this)
            , sendRelayedReply(std::move(usedSendRelayedReply))
        {
        }

        void handle(engine::RelayedRequest request)
        {
            this->toldCommit = request.lastCommit;
            this->session.handleRelayed(std::move(request));
        }

        void acceptSession() override { }
        void refuse(engine::ReplyCode, std::string_view) override { }
        void close() override { }
        void sendFinalReply(const engine::Reply& reply) override { this->sendReply(reply); }

        void sendReply(const engine::Reply& reply) override
        {
            // The other daemon keeps the position that it has sent if it is told none.
            const auto newest = this->session.newestCommit();
            this->sendRelayedReply({ .reply = reply, .lastCommit = newest == this->toldCommit ? std::nullopt : newest });
        }

        void abortTransaction() { this->session.abortTransaction(shutdownReason); }
        void abandonRequest() { this->session.abandonRequest(shutdownReason); }

        [[nodiscard]] bool isBusy() const noexcept { return this->session.isBusy(); }
        [[nodiscard]] bool isFinished() const noexcept { return !this->session.isBusy() && !this->session.inTransaction(); }

    private:
        engine::Session session;
        ReplyHandler sendRelayedReply;
        std::optional<group::LogPoint> toldCommit; ///< Position that came with the statement.
    };

}

/// @brief A connection from another daemon.
class ServedConnection final : private budget::Holder {
public:
    ServedConnection(kernel::Loop& usedLoop, kernel::Socket socket, engine::SessionContext& usedContext, std::function<void()> closed)
        : loop(usedLoop)
        , context(usedContext)
        , lastActiveAt(usedLoop.now())
        , charge(accountOf(usedContext), budget::HolderKind::Relay, *this)
        , stream(usedLoop, std::move(socket), { .received = [this](auto bytes) { this->receive(bytes); }, .closed = std::move(closed), .drained = [this] { this->limitReading(); } })
    {
        this->write(KeepaliveFrame { .contextVersion = currentContextVersion });
        this->limitReading();
    }

    [[nodiscard]] std::size_t streamCount() const noexcept { return this->servedStreams.size(); }

    void abortTransactions()
    {
        for (const auto& [id, served] : this->servedStreams)
            served->abortTransaction();
    }

    void abandonRequests()
    {
        for (const auto& [id, served] : this->servedStreams)
            served->abandonRequest();
    }

    /// @brief Describes the connection for the choice of those that make room for others.
    [[nodiscard]] budget::ConnectionState describe(Time now) const
    {
        return { .isIdle = this->servedStreams.empty(), .hasServed = this->hasServed, .quiet = now - this->lastActiveAt };
    }

    void shed() override
    {
        this->reader = {};
        this->stream.abort();
        this->charge.releaseSlot();
    }

private:
    void write(const Frame& frame)
    {
        std::string bytes;
        appendFrame(bytes, frame);
        this->stream.write(bytes);
    }

    [[nodiscard]] bool isUnfinished() const override { return this->hasUnreadReplies() || (this->reader.size() > 0 && this->stream.isReading()); }
    [[nodiscard]] bool hasUnreadReplies() const override { return this->stream.buffered() > 0; }
    [[nodiscard]] std::uint64_t transferred() const override { return this->stream.transferred(); }

    void onSlot() override
    {
        this->stream.resumeReading();
    }

    /// Charges what the connection holds, and reads on only while it may hold more.
    void limitReading()
    {
        const bool isScarce = this->context.guard && this->context.guard->account().isUnderPressure();
        const bool isLarge = this->reader.size() >= (isScarce ? incompleteUnderPressure : maximumIncomplete);
        if (!isLarge)
            this->charge.releaseSlot();
        const auto held = this->heldRequests + this->stream.occupied();
        this->charge.set(connectionCost + this->reader.size() + held);
        if (!this->context.guard)
            return;
        // Reading goes on when statements of this daemon are answered, so it is stopped only while there are some.
        const bool mayRead = held < findMaximumHeld(this->context.guard->account()) && (!isLarge || this->charge.requestSlot());
        this->stream.setReadLimit(isScarce && !this->charge.hasSlot() ? incompleteUnderPressure : kernel::ByteStream::maximumReadSize);
        if (mayRead)
            this->stream.resumeReading();
        else
            this->stream.pauseReading();
    }

    void receive(std::string_view bytes)
    {
        this->reader.append(bytes);
        while (auto frame = this->reader.next()) {
            if (auto* statement = std::get_if<StatementFrame>(&*frame))
                this->handle(statement->stream, std::move(statement->request));
            else if (const auto* end = std::get_if<EndFrame>(&*frame)) {
                this->servedStreams.erase(end->stream);
                this->forgetRequest(end->stream);
            }
        }
        this->lastActiveAt = this->loop.now();
        this->limitReading();
        if (this->reader.isMalformed())
            this->stream.closeAfterWrite();
    }

    void forgetRequest(std::uint64_t streamId)
    {
        const auto found = this->requestSizes.find(streamId);
        if (found == this->requestSizes.end())
            return;
        this->heldRequests -= found->second;
        this->requestSizes.erase(found);
    }

    void handle(std::uint64_t streamId, engine::RelayedRequest request)
    {
        this->hasServed = true;
        this->forgetRequest(streamId);
        this->heldRequests += this->requestSizes.emplace(streamId, sizeOf(request)).first->second;
        auto& slot = this->servedStreams[streamId];
        if (!slot)
            slot = std::make_unique<ServedStream>(this->context, [this, streamId](engine::RelayedReply reply) { this->answer(streamId, std::move(reply)); });
        slot->handle(std::move(request));
        if (!this->keepaliveTimer)
            this->keepaliveTimer = this->loop.after(keepaliveInterval, [this] { this->sendKeepalive(); });
    }

    /// Sends keepalives for as long as a statement of the other daemon is unanswered.
    void sendKeepalive()
    {
        this->keepaliveTimer.reset();
        const bool isBusy = std::any_of(this->servedStreams.begin(), this->servedStreams.end(), [](const auto& item) { return item.second->isBusy(); });
        if (!isBusy)
            return;
        this->write(KeepaliveFrame {});
        this->keepaliveTimer = this->loop.after(keepaliveInterval, [this] { this->sendKeepalive(); });
    }

    void answer(std::uint64_t streamId, engine::RelayedReply reply)
    {
        this->write(ReplyFrame { .stream = streamId, .reply = std::move(reply) });
        this->forgetRequest(streamId);
        this->limitReading();
        // The stream's session is the caller, so it is destroyed on a later turn of the event loop, unless it is in use again by then.
        this->loop.post([this, weak = std::weak_ptr(this->lifetimeToken), streamId] {
            if (weak.expired())
                return;
            const auto found = this->servedStreams.find(streamId);
            if (found != this->servedStreams.end() && found->second->isFinished())
                this->servedStreams.erase(found);
        });
    }

    kernel::Loop& loop;
    engine::SessionContext& context;
    FrameReader reader;
    std::shared_ptr<int> lifetimeToken { std::make_shared<int>(0) };
    std::map<std::uint64_t, std::unique_ptr<ServedStream>> servedStreams;
    std::map<std::uint64_t, std::size_t> requestSizes; ///< Bytes of the statements in progress, by stream.
    std::size_t heldRequests { 0 }; ///< Their sum.
    Time lastActiveAt;
    bool hasServed { false }; ///< A statement has arrived.
    kernel::Registration keepaliveTimer;
    budget::Charge charge;
    kernel::ByteStream stream;
};

RelayServer::RelayServer(kernel::Loop& usedLoop, const kernel::Address& listen, engine::SessionContext& usedContext)
    : loop(usedLoop)
    , context(usedContext)
    , connectionLimit(usedContext.guard ? usedContext.guard->shares().relays : std::numeric_limits<std::size_t>::max())
    , acceptor(usedLoop, listen, { .accepted = [this](kernel::Socket socket) { this->accept(std::move(socket)); }, .refused = [this] { if (this->context.guard) this->context.guard->noteRefused("relay", "no_descriptor"); } })
{
}

RelayServer::~RelayServer() = default;

std::size_t RelayServer::streamCount() const noexcept
{
    std::size_t count = 0;
    for (const auto& connection : this->connections)
        count += connection->streamCount();
    return count;
}

void RelayServer::abortTransactions()
{
    for (const auto& connection : this->connections)
        connection->abortTransactions();
}

void RelayServer::abandonRequests()
{
    for (const auto& connection : this->connections)
        connection->abandonRequests();
}

/// Returns whether a connection may be accepted; at the limit, closes idle ones to make room.
bool RelayServer::hasRoom()
{
    if (this->connections.size() < this->connectionLimit) {
        this->replaced = 0;
        return true;
    }
    const auto now = this->loop.now();
    if (this->replaced == 0 && now - this->roomMadeAt >= replacementInterval) {
        this->roomMadeAt = now;
        this->replaced += budget::shedReplaced(this->connections, replacedAtOnce, now, [this] { this->context.guard->noteRefused("relay", "replaced"); });
    }
    if (this->replaced == 0)
        return false;
    --this->replaced;
    return true;
}

void RelayServer::accept(kernel::Socket socket)
{
    if (!this->hasRoom()) {
        this->context.guard->noteRefused("relay", "too_many_connections");
        return;
    }
    this->connections.emplace_back();
    auto& slot = this->connections.back();
    slot = std::make_unique<ServedConnection>(this->loop, std::move(socket), this->context, [this, &slot] {
        this->connections.remove_if([&slot](const auto& candidate) { return &candidate == &slot; });
    });
}

}
