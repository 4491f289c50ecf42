#pragma once

#include "amaranthhall/budget/decision.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <vector>

namespace amaranthhall::budget {

class Charge;

/// @brief A connection that holds memory on behalf of another program.
class Holder {
public:
    Holder() = default;
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;
    virtual ~Holder() = default;

    /// @brief Returns whether it has sent a part of a message that it could continue, or not read its replies.
    [[nodiscard]] virtual bool isUnfinished() const = 0;

    /// @brief Returns whether it has not read its replies.
    [[nodiscard]] virtual bool hasUnreadReplies() const = 0;

    /// @brief Returns the number of bytes that were read from it and written to it so far.
    [[nodiscard]] virtual std::uint64_t transferred() const = 0;

    /// @brief Called when it has been given the slot it waits for; resumes reading.
    virtual void onSlot() = 0;

    /// @brief Closes the connection at once.
    virtual void shed() = 0;
};

/// @brief The memory that all connections of a process hold together. A change costs the same however many connections there are.
class Account {
public:
    explicit Account(std::uint64_t capacity) noexcept
        : total { .used = 0, .capacity = capacity }
    {
    }

    [[nodiscard]] const AccountState& state() const noexcept { return this->total; }
    [[nodiscard]] bool isUnderPressure() const noexcept { return budget::isUnderPressure(this->total); }
    [[nodiscard]] bool isNearlyFull() const noexcept { return budget::isNearlyFull(this->total); }

    /// @brief Sets the function that is called when the account becomes nearly full; it must not close a connection within the call.
    void onNearlyFull(std::function<void()> callback) { this->nearlyFull = std::move(callback); }

    /// @brief Closes the connections that decideClosures() chooses, and calls back for each.
    void review(Time now, const std::function<void(Reason, std::uint64_t bytes)>& closed);

    [[nodiscard]] std::size_t holders() const noexcept { return this->charges.size(); }

    /// @brief Returns the number of holders that wait to send a large message.
    [[nodiscard]] std::size_t waiting() const noexcept { return this->queues[0].size() + this->queues[1].size(); }

private:
    friend class Charge;

    void change(std::uint64_t before, std::uint64_t after);
    void giveSlots();
    [[nodiscard]] bool canGive(std::size_t kind) const noexcept;

    AccountState total;
    std::vector<Charge*> charges;
    std::array<std::list<Charge*>, 2> queues; ///< Holders that wait for a slot, by kind; first come, first served.
    std::array<std::size_t, 2> slots {}; ///< Given, by kind.
    std::function<void()> nearlyFull;
    bool isGiving { false };
};

/// @brief One connection's part of an account; without an account it does nothing and limits nothing.
class Charge {
public:
    Charge(Account* account, HolderKind kind, Holder& holder);
    ~Charge();
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    /// @brief Sets the bytes that the connection holds.
    void set(std::uint64_t bytes);

    /// @brief Asks for a slot for a large message; returns whether it is given now. Else Holder::onSlot() is called later.
    [[nodiscard]] bool requestSlot();

    /// @brief Gives the slot back, or the place in the queue.
    void releaseSlot();

    [[nodiscard]] bool hasSlot() const noexcept { return this->isGiven; }
    [[nodiscard]] bool isWaiting() const noexcept { return this->isQueued; }

private:
    friend class Account;

    void give();
    [[nodiscard]] std::size_t index() const noexcept { return static_cast<std::size_t>(this->kind); }
    void update();
    [[nodiscard]] HolderState observe(Time now);

    Account* account;
    HolderKind kind;
    Holder& holder;
    std::size_t position { 0 }; ///< In the account's list.
    std::uint64_t held { 0 };
    std::uint64_t charged { 0 };
    std::list<Charge*>::iterator place; ///< In the queue; valid while `isQueued`.
    bool isGiven { false };
    bool isQueued { false };
    // As of the last review.
    std::uint64_t lastTransferred { std::numeric_limits<std::uint64_t>::max() }; ///< Differs from any count before the first review.
    Time lastProgress;
    Time slotSeen;
};

}
