#include "amaranthhall/pgwire/frame_writer.hpp"

namespace amaranthhall::pgwire {

namespace {

    void storeBigEndian(char* target, std::uint32_t value) noexcept
    {
        target[0] = static_cast<char>(value >> 24U);
        target[1] = static_cast<char>(value >> 16U);
        target[2] = static_cast<char>(value >> 8U);
        target[3] = static_cast<char>(value);
    }

}

void FrameWriter::begin(char type)
{
    if (type != 0)
        this->buffer.push_back(type);
    this->lengthOffset = this->buffer.size();
    this->buffer.append(sizeof(std::int32_t), '\0');
}

void FrameWriter::addByte(char value)
{
    this->buffer.push_back(value);
}

void FrameWriter::addInt16(std::int16_t value)
{
    const auto bits = static_cast<std::uint16_t>(value);
    this->buffer.push_back(static_cast<char>(bits >> 8U));
    this->buffer.push_back(static_cast<char>(bits));
}

void FrameWriter::addInt32(std::int32_t value)
{
    const auto offset = this->buffer.size();
    this->buffer.append(sizeof(value), '\0');
    storeBigEndian(this->buffer.data() + offset, static_cast<std::uint32_t>(value));
}

void FrameWriter::addText(std::string_view value)
{
    this->buffer.append(value);
    this->buffer.push_back('\0');
}

void FrameWriter::addBytes(std::string_view value)
{
    this->buffer.append(value);
}

void FrameWriter::addValue(const Value& value)
{
    if (!value) {
        this->addInt32(-1);
        return;
    }
    this->addInt32(static_cast<std::int32_t>(value->size()));
    this->addBytes(*value);
}

void FrameWriter::end()
{
    storeBigEndian(this->buffer.data() + this->lengthOffset, static_cast<std::uint32_t>(this->buffer.size() - this->lengthOffset));
}

void FrameWriter::add(char type, std::string_view body)
{
    this->begin(type);
    this->addBytes(body);
    this->end();
}

void FrameWriter::addReadyForQuery(TransactionStatus status)
{
    this->begin('Z');
    this->addByte(static_cast<char>(status));
    this->end();
}

void FrameWriter::addCommandComplete(std::string_view tag)
{
    this->begin('C');
    this->addText(tag);
    this->end();
}

void FrameWriter::addParameterStatus(std::string_view name, std::string_view value)
{
    this->begin('S');
    this->addText(name);
    this->addText(value);
    this->end();
}

void FrameWriter::addRowDescription(std::span<const Column> columns)
{
    this->begin('T');
    this->addInt16(static_cast<std::int16_t>(columns.size()));
    for (const auto& column : columns) {
        this->addText(column.name);
        this->addInt32(column.tableOid);
        this->addInt16(column.columnNumber);
        this->addInt32(column.type);
        this->addInt16(column.typeLength);
        this->addInt32(column.typeModifier);
        this->addInt16(column.format);
    }
    this->end();
}

void FrameWriter::addDataRow(std::span<const Value> values)
{
    this->begin('D');
    this->addInt16(static_cast<std::int16_t>(values.size()));
    for (const auto& value : values)
        this->addValue(value);
    this->end();
}

void FrameWriter::addErrorFields(char type, const ErrorFields& fields)
{
    this->begin(type);
    for (const auto& field : fields.fields) {
        this->addByte(field.code);
        this->addText(field.text);
    }
    this->addByte('\0');
    this->end();
}

}
