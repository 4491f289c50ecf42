#include "session/session_bench.hpp"

#include "amaranthhall/pgwire/fields.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

namespace amaranthhall::session::fakes {

namespace {

    using namespace std::chrono_literals;

    constexpr std::int32_t protocolVersion = 196608;

    std::string printError(pgwire::FieldReader fields)
    {
        std::string text;
        for (auto code = fields.byte().value_or('\0'); code != '\0'; code = fields.byte().value_or('\0')) {
            const auto value = fields.text().value_or("");
            if (code != 'V')
                text += " " + std::string(1, code) + "=" + std::string(value);
        }
        return text;
    }

    std::string printColumns(pgwire::FieldReader fields)
    {
        std::string text;
        const auto count = fields.int16().value_or(0);
        for (int i = 0; i < count; ++i) {
            text += " " + std::string(fields.text().value_or(""));
            static_cast<void>(fields.bytes(16));
            text += fields.int16().value_or(0) == 1 ? ":binary" : "";
        }
        return text;
    }

    std::string printRow(pgwire::FieldReader fields)
    {
        std::string text;
        const auto count = fields.int16().value_or(0);
        for (int i = 0; i < count; ++i) {
            const auto length = fields.int32().value_or(-1);
            text += length < 0 ? " NULL" : " " + std::string(fields.bytes(static_cast<std::size_t>(length)).value_or("?"));
        }
        return text;
    }

    std::string print(const pgwire::Frame& frame)
    {
        const std::string type(1, frame.type);
        pgwire::FieldReader fields(frame.body);
        switch (frame.type) {
        case 'E':
        case 'N':
            return type + printError(fields);
        case 'T':
            return type + printColumns(fields);
        case 'D':
            return type + printRow(fields);
        case 'C':
            return type + " " + std::string(fields.text().value_or(""));
        case 'Z':
            return type + " " + std::string(frame.body);
        case 'S': {
            const auto name = std::string(fields.text().value_or(""));
            const auto value = std::string(fields.text().value_or(""));
            // A signature depends on the key alone; the test of the token checks it.
            return type + " " + name + "=" + (name == "amaranthhall.session" ? value.substr(0, value.rfind('/')) : value);
        }
        case 'd':
            return type + " " + std::string(frame.body.substr(0, frame.body.find('\n')));
        default:
            return type;
        }
    }

}

SessionBench::SessionBench(std::size_t links)
    : linkCount(links)
{
    this->settings.listen.caller = { .host = "127.0.0.1", .port = 0 };
    this->settings.peerKeys = { "0123456789abcdef0123456789abcdef" };
    this->settings.callers.trustLoopback = true;
    this->image.version = 1;
    this->image.services.push_back({ .name = "coach-ledger", .database = "ledger" });
    this->image.upstreams.push_back({ .id = { .group = { .service = "coach-ledger", .instance = "1" }, .name = "a" } });
}

SessionBench::~SessionBench()
{
    if (this->listener)
        this->listener->stop();
    this->turnFor(1ms);
}

void SessionBench::start()
{
    this->registry = std::make_unique<kernel::Registry>();
    this->registry->add(std::make_unique<telemetry::Metrics>());
    this->registry->add(std::make_unique<table::StaticTable>(this->image));
    this->dispatcher = &this->registry->add(std::make_unique<FakeDispatcher>(this->loop, this->upstream, this->linkCount));
    this->confirmer = &this->registry->add(std::make_unique<FakeConfirmer>(this->loop, this->upstream));
    this->listener = &this->registry->add(std::make_unique<CallerListener>(this->loop, *this->registry, this->settings));
    this->registry->start();
}

bool SessionBench::turnUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto end = this->loop.now() + timeout;
    while (!condition()) {
        if (this->loop.now() >= end)
            return false;
        this->turnFor(1ms);
    }
    return true;
}

void SessionBench::turnFor(std::chrono::milliseconds time)
{
    const auto timer = this->loop.after(time, [this] { this->loop.stop(); });
    this->loop.run();
}

RawCaller::RawCaller(SessionBench& usedBench)
    : bench(usedBench)
    , stream(usedBench.loop, kernel::connectTo({ .host = "127.0.0.1", .port = usedBench.listener->port() }),
          kernel::ByteStream::Callbacks {
              .received = [this](auto bytes) { this->take(bytes); },
              .closed = [this] { this->hasClosed = true; },
          })
{
}

void RawCaller::send(std::string_view bytes)
{
    this->stream.write(bytes);
}

void RawCaller::sendStartup(std::string_view database, std::string_view options)
{
    pgwire::FrameWriter writer;
    writer.begin(0);
    writer.addInt32(protocolVersion);
    writer.addText("user");
    writer.addText("clerk");
    writer.addText("database");
    writer.addText(database);
    if (!options.empty()) {
        writer.addText("options");
        writer.addText(options);
    }
    writer.addByte('\0');
    writer.end();
    this->send(writer.bytes());
}

void RawCaller::sendMessage(char type, std::string_view body)
{
    pgwire::FrameWriter writer;
    writer.add(type, body);
    this->send(writer.bytes());
}

bool RawCaller::await(std::size_t count)
{
    return this->bench.turnUntil([&] { return this->received.size() >= count; });
}

void RawCaller::take(std::string_view bytes)
{
    this->reader.append(bytes);
    for (auto frame = this->reader.nextTyped(); frame && *frame; frame = this->reader.nextTyped()) {
        this->received.push_back(print(**frame));
        if ((*frame)->type == 'K') {
            pgwire::FieldReader fields((*frame)->body);
            this->key.process = fields.int32().value_or(0);
            this->key.secret = fields.int32().value_or(0);
        }
    }
}

}
