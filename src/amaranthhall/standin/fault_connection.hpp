#pragma once

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/standin/fault_rule.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthhall::standin {

/// @brief The bytes of one direction of a connection, in order, under a fault.
class FaultLane {
public:
    /// @brief Called once when a fault cuts the connection.
    using Cut = std::function<void()>;

    FaultLane(kernel::Loop& loop, Random& random, Cut cut);

    /// @brief Sets where bytes go.
    void setTarget(kernel::ByteStream* stream);

    /// @brief Sets a callback for the first bytes that may go on while there is no target; it sets one.
    void onFirstPass(std::function<void()> callback) { this->firstPass = std::move(callback); }

    /// @brief Takes bytes in.
    void take(std::string_view bytes);

    /// @brief Puts a fault in force; bytes that an earlier one held go on.
    void setFault(const DirectionFault& changed);

    /// @brief Calls back once, as soon as all bytes taken in have gone on.
    void whenEmpty(std::function<void()> callback);

private:
    struct Chunk {
        Time due;
        std::string bytes;
    };

    void pump();
    void pass(std::string bytes);

    kernel::Loop& loop;
    Random& random;
    Cut cut;
    kernel::ByteStream* target { nullptr };
    DirectionFault fault;
    std::deque<Chunk> waiting;
    std::uint64_t passed { 0 };
    std::function<void()> emptied;
    std::function<void()> firstPass;
    kernel::Registration timer;
};

/// @brief One proxied connection.
class FaultConnection {
public:
    /// @brief Called once when the connection has ended.
    using Ended = std::function<void()>;

    /// @brief Takes over an accepted connection; the target is connected to once bytes may go on to it, as a cut network takes no connection.
    FaultConnection(kernel::Loop& loop, Random& random, kernel::Socket source, kernel::Address target, Ended ended);

    /// @brief Gives what the source sent first, by which rules match.
    [[nodiscard]] const std::string& firstBytes() const noexcept { return this->first; }

    /// @brief Puts a rule in force.
    void apply(const FaultRule& rule);

    /// @brief Is called when the first bytes have come, so that rules can match.
    std::function<void()> identified;

private:
    void takeFromSource(std::string_view bytes);
    void connectTarget();
    [[nodiscard]] kernel::ByteStream::Notice closedBy(bool isSource);
    void endSide(bool isSource);
    void end();

    kernel::Loop& loop;
    kernel::Address targetAddress;
    Ended ended;
    std::shared_ptr<int> alive;
    std::string first;
    FaultLane toTarget;
    FaultLane toSource;
    std::unique_ptr<kernel::ByteStream> source;
    std::unique_ptr<kernel::ByteStream> target;
};

}
