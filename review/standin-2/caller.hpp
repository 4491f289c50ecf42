#pragma once

#include "loop.hpp"

namespace review {

/// @brief What a consumer was told of a statement.
struct Outcome {
    std::string id;
    std::string text;
    std::string code; ///< Empty for a success; "CLOSED" if the connection ended without an answer.
    std::string digest;
    std::vector<std::string> rows;
    std::string state;
};

/// @brief A consumer's session: sends statements one at a time.
class Caller {
public:
    using Done = std::function<void(const Outcome&)>;

    Caller(Loop& usedLoop, std::string usedName)
        : loop(usedLoop)
        , name(std::move(usedName))
    {
    }

    /// @brief Opens a session; returns false if nothing listens.
    bool open(const std::string& host, std::uint16_t port, const std::string& database)
    {
        this->connection = connectTo(this->loop, host, port);
        this->isStarted = false;
        if (!this->connection)
            return false;
        this->connection->received = [this] { this->read(); };
        this->connection->closed = [this] { this->finish("CLOSED"); };
        this->connection->write("STARTUP " + database + "\r\n");
        return true;
    }

    void close() { this->connection.reset(); }

    [[nodiscard]] bool isOpen() const { return this->connection && this->connection->isOpen(); }
    [[nodiscard]] bool isReady() const { return this->isOpen() && this->isStarted && !this->done; }

    /// @brief Sends a statement; `callback` gets its outcome.
    void send(const std::string& text, Done callback)
    {
        this->outcome = { .id = this->name + "." + std::to_string(++this->sent), .text = text };
        this->done = std::move(callback);
        this->connection->write("QUERY " + this->outcome.id + " " + text + "\r\n");
    }

private:
    void read()
    {
        std::string line;
        while (this->connection && takeLine(this->connection->input, line)) {
            const auto word = takeWord(line);
            if (word == "DATAROW")
                this->outcome.rows.push_back(line);
            else if (word == "COMPLETE")
                this->outcome.digest = line;
            else if (word == "ERROR")
                this->outcome.code = takeWord(line);
            else if (word == "READY" && !std::exchange(this->isStarted, true))
                continue;
            else if (word == "READY") {
                this->outcome.state = takeWord(line);
                this->finish({});
            }
        }
    }

    void finish(const std::string& code)
    {
        if (!code.empty())
            this->outcome.code = code;
        if (const auto callback = std::exchange(this->done, nullptr))
            callback(this->outcome);
    }

    Loop& loop;
    std::string name;
    std::shared_ptr<Connection> connection;
    Outcome outcome;
    Done done;
    std::uint64_t sent { 0 };
    bool isStarted { false };
};

/// @brief Returns whether a code is a promise that nothing of the attempt is kept.
inline bool isPromise(const std::string& code)
{
    return code == "BUSY" || code == "ABORTED" || code == "LAGGING" || code == "READONLY" || code == "MISROUTED" || code == "TOOMANY";
}

}
