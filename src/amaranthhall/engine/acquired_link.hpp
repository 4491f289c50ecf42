#pragma once

#include "amaranthhall/engine/upstream_pool.hpp"

#include <memory>
#include <string>

namespace amaranthhall::engine {

/// @brief A link that is lent for one statement or transaction; it is given back when the loan ends.
class AcquiredLink {
public:
    AcquiredLink() noexcept = default;
    AcquiredLink(std::shared_ptr<UpstreamPool> pool, std::shared_ptr<PooledLink> link) noexcept;
    AcquiredLink(AcquiredLink&&) noexcept = default;
    AcquiredLink& operator=(AcquiredLink&& other) noexcept;
    AcquiredLink(const AcquiredLink&) = delete;
    AcquiredLink& operator=(const AcquiredLink&) = delete;
    ~AcquiredLink();

    [[nodiscard]] explicit operator bool() const noexcept { return this->link != nullptr; }
    [[nodiscard]] bool isBroken() const noexcept { return this->link->isBroken; }
    /// @brief Tells whether statements wait at the upstream.
    [[nodiscard]] bool isCongested() const noexcept { return placement::isCongested(this->pool->health()); }
    [[nodiscard]] PooledLink& pooledLink() const noexcept { return *this->link; }
    [[nodiscard]] const std::string& upstream() const noexcept { return this->pool->entry().id; }

    /// @brief Tells whether a statement sent at a moment hangs: the upstream is silent, or answers others much sooner.
    [[nodiscard]] bool isStalled(Time sentAt, Time now) const noexcept { return this->pool->isStalled(sentAt, now); }

    /// @brief Sends a command.
    void send(const Command& command, Link::Done done) { this->pool->send(this->link, command, std::move(done)); }

    /// @brief Gives the link back.
    void reset();

    /// @brief Closes the link in place of giving it back.
    void discard();

    /// @brief Closes the link, as its upstream does not answer.
    void discardStalled();

private:
    std::shared_ptr<UpstreamPool> pool;
    std::shared_ptr<PooledLink> link;
};

}
