#pragma once

// A consumer's session at a gateway.

#include "net.hpp"

#include <atomic>
#include <vector>

namespace review {

struct CallerReply {
    std::vector<std::string> rows;
    std::string code; ///< Empty for success.
    std::string digest;
    std::string state;
    bool isComplete { false }; ///< The whole answer arrived.

    [[nodiscard]] bool succeeded() const { return this->isComplete && this->code.empty(); }
};

/// Returns an id that no other request of this run has.
inline std::string newId()
{
    static std::atomic<std::uint64_t> last { 0 };
    auto text = std::to_string(++last);
    return std::string(16 - text.size(), '0') + text;
}

class Caller {
public:
    Caller(const Endpoint& gateway, const std::string& database)
        : socket(connectTo(gateway))
        , reader(this->socket)
    {
        if (!this->socket || !sendAll(this->socket, "STARTUP " + database + " u1\r\n"))
            return;
        const auto line = this->reader.line(Clock::now() + Milliseconds(2000));
        this->isOpen = line && line->starts_with("READY");
    }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    [[nodiscard]] bool isUsable() const { return this->isOpen; }

    /// Sends one request and waits for its answer.
    CallerReply query(const std::string& id, const std::string& text, Milliseconds timeout = Milliseconds(4000))
    {
        CallerReply reply;
        const auto deadline = Clock::now() + timeout;
        this->isOpen = this->isOpen && sendAll(this->socket, "QUERY " + id + " " + text + "\r\n");
        while (this->isOpen) {
            const auto line = this->reader.line(deadline);
            if (!line) {
                this->isOpen = false;
                break;
            }
            if (line->starts_with("DATAROW "))
                reply.rows.push_back(line->substr(8));
            else if (line->starts_with("COMPLETE "))
                reply.digest = line->substr(9);
            else if (line->starts_with("ERROR "))
                reply.code = line->substr(6, line->find(' ', 6) - 6);
            else if (line->starts_with("READY ")) {
                reply.state = line->substr(6, 1);
                reply.isComplete = true;
                break;
            }
        }
        return reply;
    }

private:
    Socket socket;
    Reader reader;
    bool isOpen { false };
};

}
