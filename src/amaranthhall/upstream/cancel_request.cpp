#include "amaranthhall/upstream/cancel_request.hpp"

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <memory>

namespace amaranthhall::upstream::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr std::int32_t cancelRequestCode = 80877102;
    constexpr auto cancelTimeout = 2s;

    /// A request on its way; it holds itself until the upstream closes or the timeout passes.
    struct CancelInFlight {
        std::unique_ptr<kernel::ByteStream> stream;
        kernel::Registration timer;
        std::shared_ptr<CancelInFlight> self;
    };

    std::optional<std::int32_t> takeNumber(std::string_view& text)
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
            text.remove_prefix(1);
        std::int32_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc())
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        return value;
    }

}

KeyTrace::KeyTrace(PGconn* traced)
    : connection(traced)
    , file(open_memstream(&this->text, &this->length))
{
    if (this->file) {
        PQtrace(this->connection, this->file);
        PQsetTraceFlags(this->connection, PQTRACE_SUPPRESS_TIMESTAMPS);
    }
}

KeyTrace::~KeyTrace()
{
    static_cast<void>(this->finish());
}

std::optional<BackendKey> KeyTrace::finish()
{
    if (!this->file)
        return std::nullopt;
    PQuntrace(this->connection);
    static_cast<void>(std::fclose(this->file));
    this->file = nullptr;
    const auto key = parseKeyTrace({ this->text, this->length });
    explicit_bzero(this->text, this->length);
    std::free(this->text);
    return key;
}

std::optional<BackendKey> parseKeyTrace(std::string_view trace)
{
    constexpr std::string_view marker = "\tBackendKeyData\t";
    const auto at = trace.find(marker);
    if (at == std::string_view::npos)
        return std::nullopt;
    auto rest = trace.substr(at + marker.size());
    const auto process = takeNumber(rest);
    const auto secret = takeNumber(rest);
    if (!process || !secret)
        return std::nullopt;
    return BackendKey { .process = *process, .secret = *secret };
}

std::string makeCancelRequest(const BackendKey& key)
{
    pgwire::FrameWriter writer;
    writer.begin(0);
    writer.addInt32(cancelRequestCode);
    writer.addInt32(key.process);
    writer.addInt32(key.secret);
    writer.end();
    return writer.bytes();
}

void sendCancelRequest(kernel::Loop& loop, const kernel::Address& address, const BackendKey& key)
{
    auto socket = kernel::connectTo(address);
    if (!socket)
        return;
    const auto flight = std::make_shared<CancelInFlight>();
    flight->self = flight;
    const auto finish = [held = std::weak_ptr(flight)] {
        if (const auto ended = held.lock())
            ended->self.reset();
    };
    flight->stream = std::make_unique<kernel::ByteStream>(loop, std::move(socket),
        kernel::ByteStream::Callbacks { .received = [](auto) {}, .closed = finish });
    flight->timer = loop.after(cancelTimeout, finish);
    flight->stream->write(makeCancelRequest(key));
}

}
