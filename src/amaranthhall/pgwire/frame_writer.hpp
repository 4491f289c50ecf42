#pragma once

#include "amaranthhall/pgwire/error_fields.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhall::pgwire {

/// @brief A column of a result (documentation, "RowDescription").
struct Column {
    std::string name;
    std::int32_t tableOid { 0 };
    std::int16_t columnNumber { 0 };
    std::int32_t type { 25 }; ///< Object id of the type; 25 is `text`.
    std::int16_t typeLength { -1 };
    std::int32_t typeModifier { -1 };
    std::int16_t format { 0 }; ///< 0 is text, 1 is binary.
};

/// @brief A value of a row; nothing is NULL.
using Value = std::optional<std::string_view>;

/// @brief State of a session's transaction as ReadyForQuery tells it.
enum class TransactionStatus : char {
    Idle = 'I',
    Active = 'T',
    Failed = 'E',
};

/// @brief Builds messages of protocol 3.0 one after the other in one buffer.
class FrameWriter {
public:
    /// @brief Begins a message; a type of 0 begins an untyped one.
    void begin(char type);

    void addByte(char value);
    void addInt16(std::int16_t value);
    void addInt32(std::int32_t value);

    /// @brief Adds a string and its closing zero byte.
    void addText(std::string_view value);

    /// @brief Adds raw bytes.
    void addBytes(std::string_view value);

    /// @brief Adds a value with its length, or the length -1 for NULL.
    void addValue(const Value& value);

    /// @brief Ends the message by writing its length.
    void end();

    /// @brief Adds a message that has a type and a body already built.
    void add(char type, std::string_view body);

    void addReadyForQuery(TransactionStatus status);
    void addCommandComplete(std::string_view tag);
    void addParameterStatus(std::string_view name, std::string_view value);
    void addRowDescription(std::span<const Column> columns);
    void addDataRow(std::span<const Value> values);

    /// @brief Adds an ErrorResponse (`E`) or NoticeResponse (`N`).
    void addErrorFields(char type, const ErrorFields& fields);

    /// @brief Gives the bytes built so far.
    [[nodiscard]] const std::string& bytes() const noexcept { return this->buffer; }

    /// @brief Tells whether nothing has been built.
    [[nodiscard]] bool empty() const noexcept { return this->buffer.empty(); }

    /// @brief Drops the bytes built so far and keeps the memory.
    void clear() noexcept { this->buffer.clear(); }

private:
    std::string buffer;
    std::size_t lengthOffset { 0 };
};

}
