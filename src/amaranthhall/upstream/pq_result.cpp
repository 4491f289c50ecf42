#include "amaranthhall/upstream/pq_result.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace amaranthhall::upstream::internal {

namespace {

    constexpr int statusColumns = 6;
    constexpr std::size_t sqlstateLength = 5;

    struct FieldCode {
        char code;
        int diagnostic;
    };

    constexpr std::array<FieldCode, 18> errorFieldCodes { {
        { 'S', PG_DIAG_SEVERITY },
        { 'V', PG_DIAG_SEVERITY_NONLOCALIZED },
        { 'C', PG_DIAG_SQLSTATE },
        { 'M', PG_DIAG_MESSAGE_PRIMARY },
        { 'D', PG_DIAG_MESSAGE_DETAIL },
        { 'H', PG_DIAG_MESSAGE_HINT },
        { 'P', PG_DIAG_STATEMENT_POSITION },
        { 'p', PG_DIAG_INTERNAL_POSITION },
        { 'q', PG_DIAG_INTERNAL_QUERY },
        { 'W', PG_DIAG_CONTEXT },
        { 's', PG_DIAG_SCHEMA_NAME },
        { 't', PG_DIAG_TABLE_NAME },
        { 'c', PG_DIAG_COLUMN_NAME },
        { 'd', PG_DIAG_DATATYPE_NAME },
        { 'n', PG_DIAG_CONSTRAINT_NAME },
        { 'F', PG_DIAG_SOURCE_FILE },
        { 'L', PG_DIAG_SOURCE_LINE },
        { 'R', PG_DIAG_SOURCE_FUNCTION },
    } };

    std::uint64_t readNumber(const PGresult& result, int column)
    {
        const std::string_view text(PQgetvalue(&result, 0, column), static_cast<std::size_t>(PQgetlength(&result, 0, column)));
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    bool isSqlstate(std::string_view text)
    {
        return text.size() == sqlstateLength && std::all_of(text.begin(), text.end(), [](unsigned char letter) { return std::isdigit(letter) != 0 || std::isupper(letter) != 0; });
    }

}

pgwire::ErrorFields readErrorFields(const PGresult& result)
{
    pgwire::ErrorFields error;
    for (const auto& field : errorFieldCodes) {
        if (const char* text = PQresultErrorField(&result, field.diagnostic))
            error.fields.push_back({ field.code, text });
    }
    return error;
}

pgwire::ErrorFields readConnectError(std::string_view message)
{
    constexpr std::string_view severityEnd = ":  ";
    for (auto at = message.find(severityEnd); at != std::string_view::npos; at = message.find(severityEnd, at + 1)) {
        const auto begin = at + severityEnd.size();
        const auto state = message.substr(begin, sqlstateLength);
        if (!isSqlstate(state) || message.substr(begin + sqlstateLength, 2) != ": ")
            continue;
        const auto text = message.substr(begin + sqlstateLength + 2);
        return pgwire::makeError("FATAL", state, text.substr(0, text.find('\n')));
    }
    while (!message.empty() && message.back() == '\n')
        message.remove_suffix(1);
    return pgwire::makeError("FATAL", "08001", message);
}

void readColumns(const PGresult& result, std::vector<pgwire::Column>& columns)
{
    columns.resize(static_cast<std::size_t>(PQnfields(&result)));
    for (int i = 0; i < PQnfields(&result); ++i) {
        auto& column = columns[static_cast<std::size_t>(i)];
        column.name = PQfname(&result, i);
        column.tableOid = static_cast<std::int32_t>(PQftable(&result, i));
        column.columnNumber = static_cast<std::int16_t>(PQftablecol(&result, i));
        column.type = static_cast<std::int32_t>(PQftype(&result, i));
        column.typeLength = static_cast<std::int16_t>(PQfsize(&result, i));
        column.typeModifier = PQfmod(&result, i);
        column.format = static_cast<std::int16_t>(PQfformat(&result, i));
    }
}

void readRow(const PGresult& result, int row, std::vector<pgwire::Value>& values)
{
    values.resize(static_cast<std::size_t>(PQnfields(&result)));
    for (int i = 0; i < PQnfields(&result); ++i) {
        auto& value = values[static_cast<std::size_t>(i)];
        if (PQgetisnull(&result, row, i) != 0)
            value.reset();
        else
            value = std::string_view(PQgetvalue(&result, row, i), static_cast<std::size_t>(PQgetlength(&result, row, i)));
    }
}

pgwire::TransactionStatus readTransaction(const PGconn* connection) noexcept
{
    switch (PQtransactionStatus(connection)) {
    case PQTRANS_INTRANS:
    case PQTRANS_ACTIVE:
        return pgwire::TransactionStatus::Active;
    case PQTRANS_INERROR:
        return pgwire::TransactionStatus::Failed;
    default:
        return pgwire::TransactionStatus::Idle;
    }
}

std::optional<group::UpstreamStatus> readStatus(const PGresult& result)
{
    if (PQntuples(&result) != 1 || PQnfields(&result) != statusColumns)
        return std::nullopt;
    const std::string_view role = PQgetvalue(&result, 0, 0);
    return group::UpstreamStatus {
        .role = role == "primary" ? group::Role::Primary : group::Role::Replica,
        .term = readNumber(result, 1),
        .last = { .term = readNumber(result, 2), .position = readNumber(result, 3) },
        .applied = readNumber(result, 4),
        .isDraining = readNumber(result, 5) != 0,
    };
}

}
