#include "amaranthhall/standin/sql_database.hpp"

#include "amaranthhall/standin/sql_value.hpp"

#include <charconv>
#include <sqlite3.h>
#include <stdexcept>

namespace amaranthhall::standin {

namespace {

    std::string_view constraintSqlstate(int code)
    {
        switch (code) {
        case SQLITE_CONSTRAINT_UNIQUE:
        case SQLITE_CONSTRAINT_PRIMARYKEY:
        case SQLITE_CONSTRAINT_ROWID:
            return "23505";
        case SQLITE_CONSTRAINT_NOTNULL:
            return "23502";
        case SQLITE_CONSTRAINT_CHECK:
            return "23514";
        case SQLITE_CONSTRAINT_FOREIGNKEY:
            return "23503";
        default:
            return "23000";
        }
    }

    std::string_view messageSqlstate(std::string_view message)
    {
        const auto says = [&](std::string_view part) { return message.find(part) != std::string_view::npos; };
        if (says("no such table"))
            return "42P01";
        if (says("no such column"))
            return "42703";
        if (says("no such function"))
            return "42883";
        return says("already exists") ? "42P07" : "42601";
    }

    std::string_view toSqlstate(int code, std::string_view message)
    {
        switch (code & 0xff) {
        case SQLITE_CONSTRAINT:
            return constraintSqlstate(code);
        case SQLITE_BUSY:
        case SQLITE_LOCKED:
            return "40001";
        case SQLITE_MISMATCH:
            return "22P02";
        case SQLITE_FULL:
        case SQLITE_NOMEM:
            return "53200";
        default:
            return messageSqlstate(message);
        }
    }

    bool isInteger(std::int32_t id)
    {
        return id == type::int2 || id == type::int4 || id == type::int8 || id == type::boolean;
    }

    /// An integer whose type was left open is bound as one only if its text is the usual one, so that `007` stays text.
    std::optional<std::int64_t> readInteger(const LoggedParameter& parameter)
    {
        const auto& text = *parameter.value;
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        if (isInteger(parameter.type) || (parameter.type == 0 && std::to_string(value) == text))
            return value;
        return std::nullopt;
    }

    std::optional<double> readDouble(const LoggedParameter& parameter)
    {
        if (parameter.type != type::float4 && parameter.type != type::float8)
            return std::nullopt;
        const auto& text = *parameter.value;
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
    }

    void bindOne(sqlite3_stmt* statement, int index, const LoggedParameter& parameter)
    {
        if (!parameter.value)
            sqlite3_bind_null(statement, index);
        else if (const auto integer = readInteger(parameter))
            sqlite3_bind_int64(statement, index, *integer);
        else if (const auto number = readDouble(parameter))
            sqlite3_bind_double(statement, index, *number);
        else
            sqlite3_bind_text(statement, index, parameter.value->data(), static_cast<int>(parameter.value->size()), SQLITE_TRANSIENT);
    }

    std::size_t parameterNumber(sqlite3_stmt* statement, int index)
    {
        std::size_t number = static_cast<std::size_t>(index);
        const char* name = sqlite3_bind_parameter_name(statement, index);
        if (name && name[0] == '$')
            std::from_chars(name + 1, name + std::char_traits<char>::length(name), number);
        return number;
    }

    std::int32_t typeOfValue(sqlite3_stmt* statement, int column)
    {
        switch (sqlite3_column_type(statement, column)) {
        case SQLITE_INTEGER:
            return type::int8;
        case SQLITE_FLOAT:
            return type::float8;
        default:
            return type::text;
        }
    }

}

void SqlStatement::Closer::operator()(sqlite3_stmt* statement) const noexcept
{
    sqlite3_finalize(statement);
}

SqlStatement::SqlStatement(SqlDatabase& usedDatabase, sqlite3_stmt* prepared)
    : database(&usedDatabase)
    , handle(prepared)
{
}

bool SqlStatement::isReadOnly() const noexcept
{
    return sqlite3_stmt_readonly(this->handle.get()) != 0;
}

bool SqlStatement::hasColumns() const noexcept
{
    return sqlite3_column_count(this->handle.get()) > 0;
}

std::size_t SqlStatement::parameterCount() const noexcept
{
    std::size_t most = 0;
    for (int i = 1; i <= sqlite3_bind_parameter_count(this->handle.get()); ++i)
        most = std::max(most, parameterNumber(this->handle.get(), i));
    return most;
}

void SqlStatement::bind(std::span<const LoggedParameter> parameters)
{
    for (int i = 1; i <= sqlite3_bind_parameter_count(this->handle.get()); ++i) {
        const auto number = parameterNumber(this->handle.get(), i);
        if (number > 0 && number <= parameters.size())
            bindOne(this->handle.get(), i, parameters[number - 1]);
    }
}

SqlExpected<bool> SqlStatement::step()
{
    const auto code = sqlite3_step(this->handle.get());
    if (code == SQLITE_ROW || code == SQLITE_DONE)
        return code == SQLITE_ROW;
    return tl::unexpected(this->database->readFailure());
}

std::vector<pgwire::Column> SqlStatement::columns() const
{
    std::vector<pgwire::Column> described;
    for (int i = 0; i < sqlite3_column_count(this->handle.get()); ++i) {
        const char* declared = sqlite3_column_decltype(this->handle.get(), i);
        const auto id = declared ? typeOfDeclaration(declared) : typeOfValue(this->handle.get(), i);
        described.push_back({ .name = sqlite3_column_name(this->handle.get(), i), .type = id, .typeLength = lengthOfType(id) });
    }
    return described;
}

std::optional<std::string> SqlStatement::value(std::size_t column, std::int32_t id) const
{
    const auto index = static_cast<int>(column);
    if (sqlite3_column_type(this->handle.get(), index) == SQLITE_NULL)
        return std::nullopt;
    if (id == type::boolean && sqlite3_column_type(this->handle.get(), index) == SQLITE_INTEGER)
        return sqlite3_column_int(this->handle.get(), index) != 0 ? "t" : "f";
    const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(this->handle.get(), index));
    return std::string(text, static_cast<std::size_t>(sqlite3_column_bytes(this->handle.get(), index)));
}

void SqlDatabase::Closer::operator()(sqlite3* handle) const noexcept
{
    sqlite3_close_v2(handle);
}

SqlDatabase::SqlDatabase(const std::string& name)
{
    sqlite3* opened = nullptr;
    const auto uri = "file:/" + name + "?vfs=memdb";
    const auto status = sqlite3_open_v2(uri.c_str(), &opened, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_URI, nullptr);
    this->handle.reset(opened);
    if (status != SQLITE_OK)
        throw std::runtime_error("the in-memory database cannot be opened");
    sqlite3_extended_result_codes(opened, 1);
}

SqlExpected<SqlStatement> SqlDatabase::prepare(std::string_view text)
{
    sqlite3_stmt* prepared = nullptr;
    if (sqlite3_prepare_v2(this->handle.get(), text.data(), static_cast<int>(text.size()), &prepared, nullptr) != SQLITE_OK)
        return tl::unexpected(this->readFailure());
    return SqlStatement(*this, prepared);
}

SqlExpected<void> SqlDatabase::run(std::string_view text, std::span<const LoggedParameter> parameters)
{
    auto statement = this->prepare(text);
    if (!statement)
        return tl::unexpected(statement.error());
    statement->bind(parameters);
    while (true) {
        const auto row = statement->step();
        if (!row)
            return tl::unexpected(row.error());
        if (!*row)
            return {};
    }
}

bool SqlDatabase::inTransaction() const noexcept
{
    return sqlite3_get_autocommit(this->handle.get()) == 0;
}

int SqlDatabase::changes() const noexcept
{
    return sqlite3_changes(this->handle.get());
}

SqlFailure SqlDatabase::readFailure() const
{
    const auto code = sqlite3_extended_errcode(this->handle.get());
    const std::string_view message = sqlite3_errmsg(this->handle.get());
    const auto primary = code & 0xff;
    return {
        .error = pgwire::makeError("ERROR", toSqlstate(code, message), message),
        .isBusy = primary == SQLITE_BUSY || primary == SQLITE_LOCKED,
    };
}

}
