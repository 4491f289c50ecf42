#pragma once

#include "amaranthhall/pgwire/error_fields.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhall::pgwire {

/// @brief A column of a result set (PostgreSQL documentation, "RowDescription").
struct Column {
    std::string name;
    std::int32_t tableOid { 0 }; ///< 0 if the column does not belong to a table.
    std::int16_t columnNumber { 0 }; ///< Attribute number in the table; 0 if there is none.
    std::int32_t type { 25 }; ///< OID of the data type; 25 is `text`.
    std::int16_t typeLength { -1 }; ///< Size of the data type in bytes; negative for variable-width types.
    std::int32_t typeModifier { -1 };
    std::int16_t format { 0 }; ///< Format code: 0 is text, 1 is binary.
};

/// @brief A value of a row; an empty optional is NULL.
using Value = std::optional<std::string_view>;

/// @brief Transaction status of a session as reported by ReadyForQuery.
enum class TransactionStatus : char {
    Idle = 'I', ///< Not in a transaction block.
    Active = 'T', ///< In a transaction block.
    Failed = 'E', ///< In a failed transaction block, which accepts only its end.
};

/// @brief Writes messages of PostgreSQL protocol 3.0 to a buffer.
class FrameWriter {
public:
    /// @brief Begins a message; with type 0 it has no type byte.
    void begin(char type);

    void addByte(char value);
    void addInt16(std::int16_t value);
    void addInt32(std::int32_t value);

    /// @brief Adds a null-terminated string.
    void addText(std::string_view value);

    void addBytes(std::string_view value);

    /// @brief Adds a value preceded by its length, or the length -1 for NULL.
    void addValue(const Value& value);

    /// @brief Ends the message and fills in its length.
    void end();

    /// @brief Adds a complete message with the given body.
    void add(char type, std::string_view body);

    void addReadyForQuery(TransactionStatus status);
    void addCommandComplete(std::string_view tag);
    void addParameterStatus(std::string_view name, std::string_view value);
    void addRowDescription(std::span<const Column> columns);
    void addDataRow(std::span<const Value> values);

    /// @brief Adds an ErrorResponse (`E`) or NoticeResponse (`N`).
    void addErrorFields(char type, const ErrorFields& fields);

    /// @brief Returns the bytes written so far.
    [[nodiscard]] const std::string& bytes() const noexcept { return this->buffer; }

    [[nodiscard]] bool empty() const noexcept { return this->buffer.empty(); }

    /// @brief Discards the written bytes and keeps the allocated memory.
    void clear() noexcept { this->buffer.clear(); }

private:
    std::string buffer;
    std::size_t lengthOffset { 0 };
};

}
