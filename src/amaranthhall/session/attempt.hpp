#pragma once

#include "amaranthhall/upstream/link.hpp"

#include <utility>

namespace amaranthhall::session {

/// @brief Hands the answers of one batch on, until it is abandoned; so a late answer reaches nobody.
class Attempt final : public upstream::ResultSink {
public:
    explicit Attempt(upstream::ResultSink& receiver) noexcept
        : target(&receiver)
    {
    }

    /// @brief Drops all answers from now on.
    void abandon() noexcept { this->target = nullptr; }

    /// @brief Tells whether the link has made its last call.
    [[nodiscard]] bool hasEnded() const noexcept { return this->isOver; }

    void onParameterTypes(std::size_t query, std::span<const std::uint32_t> types) override
    {
        if (this->target)
            this->target->onParameterTypes(query, types);
    }
    void onColumns(std::size_t query, std::span<const pgwire::Column> columns) override
    {
        if (this->target)
            this->target->onColumns(query, columns);
    }
    void onRow(std::size_t query, std::span<const pgwire::Value> values) override
    {
        if (this->target)
            this->target->onRow(query, values);
    }
    void onCompleted(std::size_t query, std::string_view tag) override
    {
        if (this->target)
            this->target->onCompleted(query, tag);
    }
    void onError(std::size_t query, const pgwire::ErrorFields& error) override
    {
        if (this->target)
            this->target->onError(query, error);
    }
    void onNotice(const pgwire::ErrorFields& notice) override
    {
        if (this->target)
            this->target->onNotice(notice);
    }
    void onParameterStatus(std::string_view name, std::string_view value) override
    {
        if (this->target)
            this->target->onParameterStatus(name, value);
    }
    void onCopyIn(std::size_t query, std::span<const std::int16_t> columnFormats, std::int16_t format) override
    {
        if (this->target)
            this->target->onCopyIn(query, columnFormats, format);
    }
    void onCopyReady() override
    {
        if (this->target)
            this->target->onCopyReady();
    }
    void onCopyOut(std::size_t query, std::span<const std::int16_t> columnFormats, std::int16_t format) override
    {
        if (this->target)
            this->target->onCopyOut(query, columnFormats, format);
    }
    void onCopyData(std::size_t query, std::string_view data) override
    {
        if (this->target)
            this->target->onCopyData(query, data);
    }
    void onEnd(const upstream::BatchEnd& end) override
    {
        this->isOver = true;
        if (auto* receiver = std::exchange(this->target, nullptr))
            receiver->onEnd(end);
    }

private:
    upstream::ResultSink* target;
    bool isOver { false };
};

}
