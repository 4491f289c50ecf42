#include "amaranthhall/standin/sql_value.hpp"
#include "amaranthhall/standin/upstream_server.hpp"
#include "amaranthhall/standin/upstream_session.hpp"

namespace amaranthhall::standin {

namespace {

    constexpr std::size_t maximumBuffered = 256U << 10U;
    constexpr std::size_t flushBytes = 64U << 10U;

    void addCopyResponse(pgwire::FrameWriter& writer, char type, std::size_t columns)
    {
        writer.begin(type);
        writer.addByte(0);
        writer.addInt16(static_cast<std::int16_t>(columns));
        for (std::size_t i = 0; i < columns; ++i)
            writer.addInt16(0);
        writer.end();
    }

}

UpstreamSession::Progress UpstreamSession::beginCopyIn(Portal& portal)
{
    if (const auto locked = this->transaction.lockForWrite("COPY FROM"); !locked) {
        portal.copy.reset();
        return this->failOrRetry(locked.error());
    }
    const auto list = portal.copy->table.find('(');
    const auto columns = list == std::string::npos ? "*" : portal.copy->table.substr(list + 1, portal.copy->table.rfind(')') - list - 1);
    auto described = this->transaction.database().prepare("SELECT " + columns + " FROM " + portal.copy->table.substr(0, list));
    if (!described) {
        portal.copy.reset();
        return this->failOrRetry(described.error());
    }
    this->copyIn = portal.copy;
    this->copyRows = 0;
    this->copyBuffer.clear();
    addCopyResponse(this->writer, 'G', described->columns().size());
    return Progress::Done;
}

void UpstreamSession::addCopyLines(bool last)
{
    std::size_t begin = 0;
    while (this->copyIn) {
        auto end = this->copyBuffer.find('\n', begin);
        if (end == std::string::npos && last && begin < this->copyBuffer.size())
            end = this->copyBuffer.size();
        if (end == std::string::npos)
            break;
        const std::string line = this->copyBuffer.substr(begin, end - begin);
        begin = end + 1;
        if (line == "\\.")
            continue;
        const auto row = decodeCopyRow(line);
        const auto inserted = isUtf8(line) ? this->transaction.start(makeCopyInsert(*this->copyIn, row.size()), row)
                                           : tl::unexpected(SqlFailure { .error = pgwire::makeError("ERROR", "22021", "invalid byte sequence for encoding \"UTF8\"") });
        if (!inserted) {
            this->fail(inserted.error().error);
            return;
        }
        ++this->copyRows;
    }
    this->copyBuffer.erase(0, begin);
}

void UpstreamSession::endCopyIn()
{
    this->copyIn.reset();
    this->copyBuffer.clear();
    this->writer.addCommandComplete("COPY " + std::to_string(this->copyRows));
}

UpstreamSession::Progress UpstreamSession::sendCopyRows(Portal& portal)
{
    auto& execution = *portal.execution;
    if (!portal.result) {
        portal.result = SqlResult {}; // Marks that the response has begun.
        addCopyResponse(this->writer, 'H', execution.columns.size());
        this->copyRows = 0;
    }
    while (execution.hasRow) {
        std::vector<std::optional<std::string>> row;
        for (std::size_t i = 0; i < execution.columns.size(); ++i)
            row.push_back(execution.statement->value(i, execution.columns[i].type));
        this->writer.add('d', encodeCopyRow(row));
        ++this->copyRows;
        if (this->writer.bytes().size() >= flushBytes)
            this->flush();
        const auto interrupted = this->findInterrupt();
        const auto advanced = this->transaction.advance(execution);
        if (interrupted || !advanced) {
            this->fail(interrupted ? *interrupted : advanced.error().error);
            return Progress::Done;
        }
        if (this->stream.buffered() >= maximumBuffered)
            return Progress::Waiting;
    }
    this->writer.add('c', "");
    this->writer.addCommandComplete("COPY " + std::to_string(this->copyRows));
    return Progress::Done;
}

}
