#pragma once

#include "amaranthhall/session/caller_listener.hpp"
#include "amaranthhall/table/static_table.hpp"
#include "session/fake_upstream.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::session::fakes {

/// @brief A caller listener over fakes, on a loop that the test turns.
class SessionBench {
public:
    explicit SessionBench(std::size_t links = 1);
    ~SessionBench();

    /// @brief Turns the loop until a condition holds; gives false at the timeout.
    bool turnUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout = std::chrono::seconds(5));

    /// @brief Turns the loop for a time.
    void turnFor(std::chrono::milliseconds time);

    kernel::Loop loop;
    FakeUpstream upstream;
    kernel::Settings settings;
    table::TableImage image;
    std::unique_ptr<kernel::Registry> registry;
    FakeDispatcher* dispatcher { nullptr };
    FakeConfirmer* confirmer { nullptr };
    CallerListener* listener { nullptr };

    /// @brief Starts the listener, with the settings and the table as they are now.
    void start();

private:
    std::size_t linkCount;
};

/// @brief A caller that sends raw messages and prints those that it gets.
class RawCaller {
public:
    explicit RawCaller(SessionBench& bench);

    void send(std::string_view bytes);
    void sendStartup(std::string_view database, std::string_view options = "");
    void sendMessage(char type, std::string_view body);

    /// @brief Gives the messages got so far, each as one line of text.
    [[nodiscard]] const std::vector<std::string>& lines() const noexcept { return this->received; }

    /// @brief Gives the key that the session was given.
    [[nodiscard]] const CancelKey& cancelKey() const noexcept { return this->key; }

    [[nodiscard]] bool isClosed() const noexcept { return this->hasClosed; }

    /// @brief Waits for a number of lines in all; gives false at the timeout.
    bool await(std::size_t count);

private:
    void take(std::string_view bytes);

    SessionBench& bench;
    kernel::ByteStream stream;
    pgwire::FrameReader reader { 1U << 24U };
    std::vector<std::string> received;
    CancelKey key;
    bool hasClosed { false };
};

}
