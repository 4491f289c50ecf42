#include "amaranthhall/http/client.hpp"
#include "amaranthhall/kernel/byte_stream.hpp"

#include <CppUTest/TestHarness.h>
#include <list>
#include <optional>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

/// Answers each request with an empty body, but on connections that have gone silent.
class SilencingServer {
public:
    explicit SilencingServer(kernel::Loop& usedLoop)
        : loop(usedLoop)
        , listener(kernel::listenOn({ .host = "127.0.0.1" }))
        , watch(usedLoop.watch(this->listener.descriptor(), { .readable = true }, [this](auto) { this->accept(); }))
    {
    }

    [[nodiscard]] kernel::Address address() const { return { .host = "127.0.0.1", .port = kernel::boundPort(this->listener) }; }
    [[nodiscard]] std::size_t accepted() const noexcept { return this->connections.size(); }

    /// Lets the connections that are open now go silent for good.
    void silenceOpenConnections() { this->silentConnections = this->connections.size(); }

private:
    void accept()
    {
        while (auto socket = kernel::acceptFrom(this->listener)) {
            auto& stream = this->connections.emplace_back();
            const auto number = this->connections.size();
            stream = std::make_unique<kernel::ByteStream>(this->loop, std::move(socket), kernel::ByteStream::Callbacks { .received = [this, &stream, number](auto) {
                                                                                                                            if (number > this->silentConnections)
                                                                                                                                stream->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); }, .closed = [] {} });
        }
    }

    kernel::Loop& loop;
    kernel::Socket listener;
    kernel::Registration watch;
    std::list<std::unique_ptr<kernel::ByteStream>> connections;
    std::size_t silentConnections { 0 };
};

}

/// The connections to a server, as to the platform's store, go silent for good, while new ones work.
TEST_GROUP(SilentHttpConnections)
{
    kernel::Loop loop;
    SilencingServer server { this->loop };
    http::Client client { this->loop };

    /// Sends requests at the same time and returns the number of responses.
    int fetch(int count)
    {
        int ended = 0;
        int answered = 0;
        for (int i = 0; i < count; ++i) {
            this->client.send(this->server.address(), { .path = "/" }, 100ms, [&](const auto& result) {
                answered += result.has_value() ? 1 : 0;
                if (++ended == count)
                    this->loop.stop();
            });
        }
        this->loop.run();
        return answered;
    }
};

// Failure: each idle connection cost one more timeout.
TEST(SilentHttpConnections, OneTimeoutIsEnoughToLeaveAllOfThem)
{
    LONGS_EQUAL(2, this->fetch(2));
    LONGS_EQUAL(2, this->server.accepted());
    this->server.silenceOpenConnections();
    LONGS_EQUAL(0, this->fetch(1));
    LONGS_EQUAL(1, this->fetch(1));
    LONGS_EQUAL(2, this->fetch(2));
}

TEST(SilentHttpConnections, RequestsUnderWayDoNotBringTheirConnectionsBack)
{
    LONGS_EQUAL(3, this->fetch(3));
    this->server.silenceOpenConnections();
    LONGS_EQUAL(1, this->fetch(3)); // two connections are kept, and the third request makes one
    LONGS_EQUAL(3, this->fetch(3));
}
