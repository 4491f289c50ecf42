#pragma once

#include "amaranthhall/upstream/link.hpp"

#include <functional>
#include <string>
#include <vector>

namespace amaranthhall::upstream {

/// @brief Writes each answer of a batch down as a line, such as `completed 0 SELECT 1`.
class RecordingSink final : public ResultSink {
public:
    using EndHandler = std::function<void(const BatchEnd&)>;

    std::vector<std::string> lines;
    EndHandler whenEnded;
    std::function<void()> whenCopyIn;

    void onParameterTypes(std::size_t query, std::span<const std::uint32_t> types) override { this->add("types", query, types.empty() ? "" : std::to_string(types[0])); }
    void onColumns(std::size_t query, std::span<const pgwire::Column> columns) override { this->add("columns", query, columns.empty() ? "" : columns[0].name); }
    void onRow(std::size_t query, std::span<const pgwire::Value> values) override { this->add("row", query, values[0].value_or("NULL")); }
    void onCompleted(std::size_t query, std::string_view tag) override { this->add("completed", query, tag); }
    void onError(std::size_t query, const pgwire::ErrorFields& error) override { this->add("error", query, error.sqlstate()); }
    void onNotice(const pgwire::ErrorFields& notice) override { this->lines.push_back("notice " + std::string(notice.message())); }
    void onParameterStatus(std::string_view name, std::string_view value) override { this->lines.push_back("parameter " + std::string(name) + " " + std::string(value)); }
    void onCopyIn(std::size_t query, std::span<const std::int16_t> formats, std::int16_t) override
    {
        this->add("copyIn", query, std::to_string(formats.size()));
        if (this->whenCopyIn)
            this->whenCopyIn();
    }
    void onCopyOut(std::size_t query, std::span<const std::int16_t> formats, std::int16_t) override { this->add("copyOut", query, std::to_string(formats.size())); }
    void onCopyData(std::size_t query, std::string_view data) override { this->add("data", query, data); }
    void onEnd(const BatchEnd& end) override
    {
        this->lines.push_back(std::string("end ") + (end.lost ? "lost" : "whole") + (end.sent ? " sent " : " unsent ") + static_cast<char>(end.transaction));
        if (this->whenEnded)
            this->whenEnded(end);
    }

private:
    void add(std::string_view what, std::size_t query, std::string_view value)
    {
        this->lines.push_back(std::string(what) + " " + std::to_string(query) + (value.empty() ? "" : " ") + std::string(value));
    }
};

}
