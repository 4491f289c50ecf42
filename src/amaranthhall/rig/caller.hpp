#pragma once

#include <cstdint>
#include <libpq-fe.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::rig {

/// @brief What a caller was told of a statement.
struct Answer {
    bool succeeded { false };
    std::string tag;
    std::string sqlstate;
    std::string message;
    std::vector<std::vector<std::string>> rows;
};

/// @brief A blocking caller over libpq, for tests and demos.
class Caller {
public:
    /// @brief Connects over loopback; `database` is `service` or `service:instance`.
    Caller(std::uint16_t port, std::string_view database, std::string_view options = "");

    [[nodiscard]] bool isConnected() const noexcept;

    /// @brief Gives the error of a failed connection.
    [[nodiscard]] std::string connectError() const;

    /// @brief Runs a text by the simple protocol; with several statements, the last answer is given, or the error.
    Answer run(const std::string& text);

    [[nodiscard]] PGconn* raw() const noexcept { return this->connection.get(); }

private:
    struct Closer {
        void operator()(PGconn* handle) const noexcept { PQfinish(handle); }
    };

    std::unique_ptr<PGconn, Closer> connection;
};

}
