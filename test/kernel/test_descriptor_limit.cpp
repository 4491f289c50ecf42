#include "amaranthhall/kernel/acceptor.hpp"
#include "amaranthhall/kernel/byte_stream.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <fcntl.h>
#include <list>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace amaranthhall;
using namespace amaranthhall::kernel;
using namespace std::chrono_literals;

namespace {

/// Leaves the process no descriptor that could be opened.
class NoDescriptors {
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &this->former);
        const Socket next(::open("/dev/null", O_RDONLY));
        const rlimit lowered { .rlim_cur = static_cast<rlim_t>(next.descriptor()), .rlim_max = this->former.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &this->former); }
    NoDescriptors(const NoDescriptors&) = delete;
    NoDescriptors& operator=(const NoDescriptors&) = delete;

private:
    rlimit former {};
};

}

TEST_GROUP(Acceptor)
{
    Loop loop;

    void runFor(Duration span)
    {
        const auto end = this->loop.after(span, [this] { this->loop.stop(); });
        this->loop.run();
    }
};

// Guards against a listener that stays readable and uses a whole core while nothing can be accepted.
TEST(Acceptor, WithoutDescriptorsConnectionsAreRefusedWithAReplyOneAtATime)
{
    std::list<Socket> accepted;
    int refused = 0;
    const Acceptor acceptor(this->loop, { .host = "127.0.0.1" }, { .accepted = [&](auto socket) { accepted.push_back(std::move(socket)); }, .refused = [&] { ++refused; } }, "no room\r\n");
    std::list<Socket> clients;
    for (int i = 0; i < 3; ++i)
        clients.push_back(connectTo({ .host = "127.0.0.1", .port = acceptor.port() }));
    {
        const NoDescriptors none;
        this->runFor(20ms);
        CHECK_EQUAL(0, accepted.size());
        CHECK_EQUAL(1, refused);
        std::array<char, 32> answer {};
        CHECK_EQUAL(9, recv(clients.front().descriptor(), answer.data(), answer.size(), MSG_DONTWAIT));
    }
    this->runFor(300ms);
    CHECK_EQUAL(2, accepted.size());
}

TEST_GROUP(ByteStream) {};

// Guards against a buffer that keeps everything written to a reader that is slow, but never quite stops.
TEST(ByteStream, WhatWasWrittenIsFreedWhileMoreIsBuffered)
{
    constexpr std::size_t blockSize = 1U << 20U;
    Loop loop;
    std::array<int, 2> ends {};
    CHECK_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()));
    const Socket reader(ends[0]);
    ByteStream stream(loop, Socket(ends[1]), { .received = [](auto) {}, .closed = [] {} });
    const std::string block(blockSize, 'x');
    stream.write(block);
    std::string buffer(blockSize / 4, 0);
    std::size_t largest = 0;
    for (int i = 0; i < 40; ++i) {
        const auto count = recv(reader.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        const auto end = loop.after(5ms, [&loop] { loop.stop(); });
        loop.run();
        stream.write(std::string_view(block).substr(0, count > 0 ? static_cast<std::size_t>(count) : 0));
        largest = std::max(largest, stream.occupied());
    }
    CHECK(stream.transferred() > 4 * blockSize);
    CHECK(largest <= 3 * blockSize);
}
