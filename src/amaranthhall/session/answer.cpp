#include "amaranthhall/session/answer.hpp"

#include <algorithm>
#include <vector>

namespace amaranthhall::session {

namespace {

    std::int16_t formatOf(const std::vector<std::int16_t>& formats, std::size_t column) noexcept
    {
        if (formats.empty())
            return 0;
        return formats.size() == 1 ? formats.front() : formats[std::min(column, formats.size() - 1)];
    }

    std::string buildRow(std::span<const pgwire::Value> values)
    {
        pgwire::FrameWriter row;
        row.addDataRow(values);
        return row.bytes();
    }

}

void Answer::begin(const Work& usedWork, bool holdsCompletions)
{
    this->work = &usedWork;
    this->holds = holdsCompletions;
    this->givenBytes = 0;
    this->clear();
}

void Answer::clear()
{
    this->writer.clear();
    this->isHeld = false;
    this->begun.reset();
    this->described.reset();
    this->rowsOfStep = 0;
}

std::size_t Answer::pending() const noexcept
{
    std::size_t bytes = this->writer.bytes().size();
    for (const auto& [name, portal] : this->portals)
        bytes += portal.bytes;
    return bytes;
}

std::string Answer::take()
{
    auto frames = this->writer.bytes();
    this->writer = {};
    this->isHeld = false;
    this->givenBytes += frames.size();
    return frames;
}

void Answer::addFrames(std::string_view frames)
{
    this->writer.addBytes(frames);
}

void Answer::addPrefix(std::size_t step)
{
    if (this->begun == step)
        return;
    this->begun = step;
    this->rowsOfStep = 0;
    this->writer.addBytes(this->work->steps[step].prefix);
}

void Answer::addParameterTypes(std::size_t step, std::span<const std::uint32_t> types)
{
    if (this->work->steps[step].reply != ReplyKind::Statement)
        return;
    this->addPrefix(step);
    this->writer.begin('t');
    this->writer.addInt16(static_cast<std::int16_t>(types.size()));
    for (const auto type : types)
        this->writer.addInt32(static_cast<std::int32_t>(type));
    this->writer.end();
}

void Answer::addColumns(std::size_t step, std::span<const pgwire::Column> columns)
{
    const auto& expected = this->work->steps[step];
    if (expected.reply == ReplyKind::Nothing)
        return;
    this->addPrefix(step);
    if (this->described == step || columns.empty() || (expected.reply == ReplyKind::Rows && !expected.describesRows))
        return;
    this->described = step;
    if (expected.reply != ReplyKind::Portal) {
        this->writer.addRowDescription(columns);
        return;
    }
    std::vector<pgwire::Column> formatted(columns.begin(), columns.end());
    for (std::size_t i = 0; i < formatted.size(); ++i)
        formatted[i].format = formatOf(expected.formats, i);
    this->writer.addRowDescription(formatted);
}

void Answer::addRow(std::size_t step, std::span<const pgwire::Value> values)
{
    const auto& expected = this->work->steps[step];
    if (expected.reply != ReplyKind::Rows)
        return;
    this->addPrefix(step);
    if (expected.rowLimit > 0 && this->rowsOfStep >= static_cast<std::size_t>(expected.rowLimit)) {
        auto& portal = this->portals[expected.portal];
        portal.rows.push_back(buildRow(values));
        portal.bytes += portal.rows.back().size();
        return;
    }
    ++this->rowsOfStep;
    this->writer.addDataRow(values);
}

void Answer::addNoDataIfSilent(std::size_t step)
{
    const auto& expected = this->work->steps[step];
    const bool isDescription = expected.reply == ReplyKind::Statement || expected.reply == ReplyKind::Portal || expected.describesRows;
    if (expected.saysNoData && isDescription && this->described != step)
        this->writer.add('n', "");
}

void Answer::addCompletion(std::size_t step, std::string_view tag)
{
    const auto& expected = this->work->steps[step];
    this->addPrefix(step);
    this->addNoDataIfSilent(step);
    if (expected.reply != ReplyKind::Rows)
        return;
    const auto kept = expected.rowLimit > 0 ? this->portals.find(expected.portal) : this->portals.end();
    if (kept != this->portals.end()) {
        kept->second.tag = tag;
        this->writer.add('s', "");
    } else if (tag.empty()) {
        this->writer.add('I', "");
    } else {
        this->writer.addCommandComplete(tag);
    }
    this->isHeld = this->isHeld || this->holds;
}

void Answer::resume(const std::string& name, std::int32_t rowLimit)
{
    auto& portal = this->portals[name];
    std::int32_t rows = 0;
    while (!portal.rows.empty() && (rowLimit <= 0 || rows < rowLimit)) {
        portal.bytes -= portal.rows.front().size();
        this->writer.addBytes(portal.rows.front());
        portal.rows.pop_front();
        ++rows;
    }
    if (!portal.rows.empty()) {
        this->writer.add('s', "");
        return;
    }
    this->writer.addCommandComplete(portal.tag);
    this->portals.erase(name);
}

}
