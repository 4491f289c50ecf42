#include "amaranthhall/standin/replica_feed.hpp"

#include "amaranthhall/pgwire/frame_writer.hpp"
#include "amaranthhall/standin/feed_codec.hpp"
#include "amaranthhall/standin/upstream_server.hpp"

#include <algorithm>

namespace amaranthhall::standin {

namespace {

    using namespace std::chrono_literals;

    constexpr auto feedInterval = 50ms; // A primary without writes still proves its term this often.
    constexpr std::size_t feedRecords = 500;
    constexpr std::size_t maximumAnswerBytes = 4096;

}

ReplicaFeed::ReplicaFeed(UpstreamServer& usedServer, kernel::Address usedTarget)
    : server(usedServer)
    , target(std::move(usedTarget))
    , reader(maximumAnswerBytes)
    , alive(std::make_shared<int>(0))
{
    this->timer = this->server.eventLoop().every(feedInterval, [this] { this->tick(); });
}

void ReplicaFeed::tick()
{
    if (this->server.status().role != group::Role::Primary) {
        this->stream.reset();
        return;
    }
    if (!this->stream && this->server.hasFreeSlot())
        this->connect();
    this->wake();
}

void ReplicaFeed::connect()
{
    auto socket = kernel::connectTo(this->target);
    if (!socket)
        return;
    this->reader = pgwire::FrameReader(maximumAnswerBytes);
    this->awaitsAnswer = false;
    this->stream = std::make_unique<kernel::ByteStream>(this->server.eventLoop(), std::move(socket),
        kernel::ByteStream::Callbacks {
            .received = [this](auto bytes) { this->received(bytes); },
            .closed = [this, living = std::weak_ptr(this->alive)] {
                if (!living.expired())
                    this->closed(); },
        });
    pgwire::FrameWriter writer;
    writer.begin(0);
    writer.addInt32(feedStartupCode);
    writer.end();
    this->stream->write(writer.bytes());
}

void ReplicaFeed::closed()
{
    this->stream.reset();
}

void ReplicaFeed::wake()
{
    const auto status = this->server.status();
    if (!this->stream || this->awaitsAnswer || status.role != group::Role::Primary)
        return;
    if (this->probedTerm != status.term) {
        this->probedTerm = status.term;
        this->next = status.last.position;
    }
    pgwire::FrameWriter writer;
    writer.add(feedFrameType, encodeFeed(this->server.log().makeFeed(this->next, feedRecords)));
    this->stream->write(writer.bytes());
    this->awaitsAnswer = true;
}

void ReplicaFeed::received(std::string_view bytes)
{
    this->reader.append(bytes);
    while (true) {
        const auto frame = this->reader.nextTyped();
        if (!frame) {
            this->stream.reset();
            return;
        }
        if (!*frame)
            return;
        this->takeAnswer((*frame)->body);
    }
}

void ReplicaFeed::takeAnswer(std::string_view body)
{
    const auto answer = decodeAnswer(body);
    this->awaitsAnswer = false;
    if (!answer)
        return;
    if (answer->term > this->server.status().term) {
        static_cast<void>(this->server.fence(answer->term));
        return;
    }
    this->next = std::min<group::Position>(answer->position, this->server.status().last.position);
    if (!answer->accepted || this->next < this->server.status().last.position)
        this->wake();
}

}
