#pragma once

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/kernel/socket.hpp"
#include "amaranthhall/pgwire/fields.hpp"
#include "amaranthhall/pgwire/frame.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"

#include <functional>
#include <list>
#include <string>
#include <vector>

namespace amaranthhall::upstream {

/// @brief Server side of protocol 3.0 for tests: it welcomes each connection, and a script answers the frames.
class ScriptedUpstream {
public:
    /// @brief Writes the answer to one frame.
    using Script = std::function<void(const pgwire::Frame& frame, pgwire::FrameWriter& answer)>;

    static constexpr std::int32_t processId = 4711;
    static constexpr std::int32_t secretKey = -99;

    ScriptedUpstream(kernel::Loop& usedLoop, Script usedScript)
        : loop(usedLoop)
        , script(std::move(usedScript))
        , listener(kernel::listenOn({ .host = "127.0.0.1" }))
        , watch(this->loop.watch(this->listener.descriptor(), { .readable = true }, [this](auto) { this->accept(); }))
    {
    }

    [[nodiscard]] kernel::Address address() const { return { .host = "127.0.0.1", .port = kernel::boundPort(this->listener) }; }

    /// @brief Refuses each further startup with this error.
    void refuse(pgwire::ErrorFields error) { this->refusal = std::move(error); }

    /// @brief Gives the bodies of the untyped frames: startups and cancel requests.
    [[nodiscard]] const std::vector<std::string>& untyped() const noexcept { return this->untypedBodies; }

    /// @brief Closes all connections.
    void closeAll()
    {
        for (auto& client : this->clients)
            client.stream->closeAfterWrite();
    }

    static void complete(pgwire::FrameWriter& answer, std::string_view tag)
    {
        answer.add('1', "");
        answer.add('2', "");
        answer.add('n', "");
        answer.addCommandComplete(tag);
    }

private:
    struct Client {
        std::unique_ptr<kernel::ByteStream> stream;
        pgwire::FrameReader reader { 1U << 20U };
        bool isStarted { false };
    };

    void accept()
    {
        auto socket = kernel::acceptFrom(this->listener);
        if (!socket)
            return;
        auto& client = this->clients.emplace_back();
        client.stream = std::make_unique<kernel::ByteStream>(this->loop, std::move(socket),
            kernel::ByteStream::Callbacks { .received = [this, &client](auto bytes) { this->received(client, bytes); }, .closed = [] {} });
    }

    void received(Client& client, std::string_view bytes)
    {
        client.reader.append(bytes);
        pgwire::FrameWriter answer;
        while (true) {
            const auto frame = client.isStarted ? client.reader.nextTyped() : client.reader.nextUntyped();
            if (!frame || !*frame)
                break;
            if (client.isStarted)
                this->script(**frame, answer);
            else
                this->startUp(client, (*frame)->body, answer);
        }
        client.stream->write(answer.bytes());
    }

    void startUp(Client& client, std::string_view body, pgwire::FrameWriter& answer)
    {
        this->untypedBodies.emplace_back(body);
        client.isStarted = true;
        if (!this->refusal.fields.empty()) {
            answer.addErrorFields('E', this->refusal);
            return;
        }
        answer.begin('R');
        answer.addInt32(0);
        answer.end();
        answer.addParameterStatus("server_version", "15.0");
        answer.addParameterStatus("TimeZone", "UTC");
        answer.begin('K');
        answer.addInt32(processId);
        answer.addInt32(secretKey);
        answer.end();
        answer.addReadyForQuery(pgwire::TransactionStatus::Idle);
    }

    kernel::Loop& loop;
    Script script;
    kernel::Socket listener;
    kernel::Registration watch;
    std::list<Client> clients;
    pgwire::ErrorFields refusal;
    std::vector<std::string> untypedBodies;
};

}
