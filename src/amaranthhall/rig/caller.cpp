#include "amaranthhall/rig/caller.hpp"

#include <array>

namespace amaranthhall::rig {

namespace {

    std::string readField(const PGresult* result, int code)
    {
        const char* text = PQresultErrorField(result, code);
        return text ? text : "";
    }

    Answer readAnswer(PGresult* result)
    {
        Answer answer { .tag = PQcmdStatus(result), .sqlstate = readField(result, PG_DIAG_SQLSTATE), .message = readField(result, PG_DIAG_MESSAGE_PRIMARY) };
        const auto status = PQresultStatus(result);
        answer.succeeded = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK || status == PGRES_EMPTY_QUERY;
        if (!answer.succeeded && answer.message.empty())
            answer.message = PQresultErrorMessage(result);
        for (int row = 0; row < PQntuples(result); ++row) {
            auto& values = answer.rows.emplace_back();
            for (int column = 0; column < PQnfields(result); ++column)
                values.emplace_back(PQgetvalue(result, row, column), static_cast<std::size_t>(PQgetlength(result, row, column)));
        }
        return answer;
    }

}

Caller::Caller(std::uint16_t port, std::string_view database, std::string_view options)
{
    const auto portText = std::to_string(port);
    const std::string name(database);
    const std::string extra(options);
    const std::array<const char*, 8> keywords { "hostaddr", "port", "dbname", "user", "options", "connect_timeout", "gssencmode", nullptr };
    const std::array<const char*, 8> values { "127.0.0.1", portText.c_str(), name.c_str(), "test", extra.c_str(), "10", "disable", nullptr };
    this->connection.reset(PQconnectdbParams(keywords.data(), values.data(), 0));
}

bool Caller::isConnected() const noexcept
{
    return PQstatus(this->connection.get()) == CONNECTION_OK;
}

std::string Caller::connectError() const
{
    return PQerrorMessage(this->connection.get());
}

Answer Caller::run(const std::string& text)
{
    PGresult* result = PQexec(this->connection.get(), text.c_str());
    if (!result)
        return { .message = PQerrorMessage(this->connection.get()) };
    auto answer = readAnswer(result);
    PQclear(result);
    return answer;
}

}
