#pragma once

#include "amaranthhall/engine/upstream_pool.hpp"

#include <memory>
#include <string>

namespace amaranthhall::engine {

/// @brief RAII owner of a pooled link for one statement or transaction; returns the link to its pool on destruction.
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
    /// @brief Returns whether statements are queueing at the upstream.
    [[nodiscard]] bool isCongested() const noexcept { return placement::isCongested(this->pool->health()); }
    [[nodiscard]] PooledLink& pooledLink() const noexcept { return *this->link; }
    [[nodiscard]] const std::string& upstream() const noexcept { return this->pool->entry().id; }

    /// @brief Returns whether a statement sent at `sentAt` is stalled: the upstream is silent, or replies to other statements much sooner.
    [[nodiscard]] bool isStalled(Time sentAt, Time now) const noexcept { return this->pool->isStalled(sentAt, now); }

    /// @brief Sends a command over the link.
    void send(const Command& command, Link::Done done) { this->pool->send(this->link, command, std::move(done)); }

    /// @brief Returns the link to its pool.
    void reset();

    /// @brief Closes the link instead of returning it to its pool.
    void discard();

    /// @brief Closes the link and records that its upstream does not reply.
    void discardStalled();

private:
    std::shared_ptr<UpstreamPool> pool;
    std::shared_ptr<PooledLink> link;
};

}
