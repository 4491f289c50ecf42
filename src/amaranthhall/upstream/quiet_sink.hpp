#pragma once

#include "amaranthhall/upstream/link.hpp"

namespace amaranthhall::upstream::internal {

/// @brief A sink that passes over all answers but the end; the base of internal queries.
class QuietSink : public ResultSink {
public:
    void onParameterTypes(std::size_t, std::span<const std::uint32_t>) override { }
    void onColumns(std::size_t, std::span<const pgwire::Column>) override { }
    void onRow(std::size_t, std::span<const pgwire::Value>) override { }
    void onCompleted(std::size_t, std::string_view) override { }
    void onError(std::size_t, const pgwire::ErrorFields&) override { }
    void onNotice(const pgwire::ErrorFields&) override { }
    void onParameterStatus(std::string_view, std::string_view) override { }
    void onCopyIn(std::size_t, std::span<const std::int16_t>, std::int16_t) override { }
    void onCopyOut(std::size_t, std::span<const std::int16_t>, std::int16_t) override { }
    void onCopyData(std::size_t, std::string_view) override { }
};

}
