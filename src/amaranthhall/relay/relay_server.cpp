#include "amaranthhall/relay/relay_server.hpp"

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/relay/frame.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace amaranthhall::relay {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration pulseInterval = 50ms; // a third of the silence after which the other daemon looks elsewhere

    /// The session that runs one stream's statements, and the way back to the other daemon.
    class ServedStream final : public engine::CallerChannel {
    public:
        using Answer = std::function<void(engine::RelayedReply)>;

        ServedStream(engine::SessionContext& context, Answer usedAnswer)
            : session(context, *this)
            , answerBack(std::move(usedAnswer))
        {
        }

        void handle(engine::RelayedRequest request) { this->session.handleRelayed(std::move(request)); }

        void acceptSession() override { }
        void refuse(engine::ReplyCode, std::string_view) override { }
        void close() override { }

        void sendReply(const engine::Reply& reply) override
        {
            this->answerBack({ .reply = reply, .lastCommit = this->session.newestCommit() });
        }

        [[nodiscard]] bool isBusy() const noexcept { return this->session.isBusy(); }
        [[nodiscard]] bool isOver() const noexcept { return !this->session.isBusy() && !this->session.inTransaction(); }

    private:
        engine::Session session;
        Answer answerBack;
    };

}

/// @brief One other daemon's connection.
class ServedConnection {
public:
    ServedConnection(kernel::Loop& usedLoop, kernel::Socket socket, engine::SessionContext& usedContext, std::function<void()> ended)
        : loop(usedLoop)
        , context(usedContext)
        , stream(usedLoop, std::move(socket), { .received = [this](auto bytes) { this->receive(bytes); }, .closed = std::move(ended) })
    {
    }

    [[nodiscard]] std::size_t streams() const noexcept { return this->served.size(); }

private:
    void receive(std::string_view bytes)
    {
        this->reader.append(bytes);
        while (auto frame = this->reader.next()) {
            if (auto* statement = std::get_if<StatementFrame>(&*frame))
                this->handle(statement->stream, std::move(statement->request));
            else if (const auto* end = std::get_if<EndFrame>(&*frame))
                this->served.erase(end->stream);
        }
        if (this->reader.isBroken())
            this->stream.closeAfterWrite();
    }

    void handle(std::uint64_t number, engine::RelayedRequest request)
    {
        auto& place = this->served[number];
        if (!place)
            place = std::make_unique<ServedStream>(this->context, [this, number](engine::RelayedReply reply) { this->sendReply(number, std::move(reply)); });
        place->handle(std::move(request));
        if (!this->pulseTimer)
            this->pulseTimer = this->loop.after(pulseInterval, [this] { this->pulse(); });
    }

    /// Tells the other daemon that its statements are not forgotten, for as long as any is not answered.
    void pulse()
    {
        this->pulseTimer.reset();
        const bool isBusy = std::any_of(this->served.begin(), this->served.end(), [](const auto& item) { return item.second->isBusy(); });
        if (!isBusy)
            return;
        std::string bytes;
        appendFrame(bytes, PulseFrame {});
        this->stream.write(bytes);
        this->pulseTimer = this->loop.after(pulseInterval, [this] { this->pulse(); });
    }

    void sendReply(std::uint64_t number, engine::RelayedReply reply)
    {
        std::string bytes;
        appendFrame(bytes, AnswerFrame { .stream = number, .reply = std::move(reply) });
        this->stream.write(bytes);
        // The stream's session is calling, so it is destroyed on a later turn, unless it is in use again by then.
        this->loop.post([this, living = std::weak_ptr(this->alive), number] {
            if (living.expired())
                return;
            const auto found = this->served.find(number);
            if (found != this->served.end() && found->second->isOver())
                this->served.erase(found);
        });
    }

    kernel::Loop& loop;
    engine::SessionContext& context;
    FrameReader reader;
    std::shared_ptr<int> alive { std::make_shared<int>(0) };
    std::map<std::uint64_t, std::unique_ptr<ServedStream>> served;
    kernel::Registration pulseTimer;
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

std::size_t RelayServer::streams() const noexcept
{
    std::size_t count = 0;
    for (const auto& connection : this->connections)
        count += connection->streams();
    return count;
}

void RelayServer::accept()
{
    while (auto socket = kernel::acceptFrom(this->listener)) {
        this->connections.emplace_back();
        auto& place = this->connections.back();
        place = std::make_unique<ServedConnection>(this->loop, std::move(socket), this->context, [this, &place] {
            this->connections.remove_if([&place](const auto& candidate) { return &candidate == &place; });
        });
    }
}

}
