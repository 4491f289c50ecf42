#include "amaranthhall/relay/relay_server.hpp"

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/relay/frame.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace amaranthhall::relay {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view shutdownReason = "shutting down";
    constexpr Duration keepaliveInterval = 50ms; // a third of the silence after which the other daemon tries another home

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
class ServedConnection {
public:
    ServedConnection(kernel::Loop& usedLoop, kernel::Socket socket, engine::SessionContext& usedContext, std::function<void()> closed)
        : loop(usedLoop)
        , context(usedContext)
        , stream(usedLoop, std::move(socket), { .received = [this](auto bytes) { this->receive(bytes); }, .closed = std::move(closed) })
    {
        this->write(KeepaliveFrame { .contextVersion = currentContextVersion });
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

private:
    void write(const Frame& frame)
    {
        std::string bytes;
        appendFrame(bytes, frame);
        this->stream.write(bytes);
    }

    void receive(std::string_view bytes)
    {
        this->reader.append(bytes);
        while (auto frame = this->reader.next()) {
            if (auto* statement = std::get_if<StatementFrame>(&*frame))
                this->handle(statement->stream, std::move(statement->request));
            else if (const auto* end = std::get_if<EndFrame>(&*frame))
                this->servedStreams.erase(end->stream);
        }
        if (this->reader.isMalformed())
            this->stream.closeAfterWrite();
    }

    void handle(std::uint64_t streamId, engine::RelayedRequest request)
    {
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
    kernel::Registration keepaliveTimer;
    kernel::ByteStream stream;
};

RelayServer::RelayServer(kernel::Loop& usedLoop, const kernel::Address& listen, engine::SessionContext& usedContext)
    : loop(usedLoop)
    , context(usedContext)
    , listener(kernel::listenOn(listen))
    , watch(usedLoop.watch(this->listener.descriptor(), { .readable = true }, [this](auto) { this->accept(); }))
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

void RelayServer::accept()
{
    while (auto socket = kernel::acceptFrom(this->listener)) {
        this->connections.emplace_back();
        auto& slot = this->connections.back();
        slot = std::make_unique<ServedConnection>(this->loop, std::move(socket), this->context, [this, &slot] {
            this->connections.remove_if([&slot](const auto& candidate) { return &candidate == &slot; });
        });
    }
}

}
