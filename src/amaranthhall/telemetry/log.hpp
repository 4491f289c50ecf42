#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace amaranthhall::telemetry {

/// @brief One named value of a log line.
struct LogField {
    using Value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

    template <typename Type>
    LogField(std::string_view fieldName, const Type& fieldValue)
        : name(fieldName)
    {
        if constexpr (std::is_same_v<Type, bool>)
            this->value = fieldValue;
        else if constexpr (std::is_floating_point_v<Type>)
            this->value = static_cast<double>(fieldValue);
        else if constexpr (std::is_integral_v<Type> && std::is_signed_v<Type>)
            this->value = static_cast<std::int64_t>(fieldValue);
        else if constexpr (std::is_integral_v<Type>)
            this->value = static_cast<std::uint64_t>(fieldValue);
        else
            this->value = std::string_view(fieldValue);
    }

    std::string_view name;
    Value value;
};

/// @brief Severity of an event.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// @brief Parses the name of a level from the settings; an unknown name yields `info`.
[[nodiscard]] LogLevel parseLogLevel(std::string_view name) noexcept;

/// @brief Installs the logger on standard output and sets the minimum level; call once at startup.
void openLog(LogLevel minimumLevel);

/// @brief Sets the minimum level of events that are written.
void setLogLevel(LogLevel minimumLevel);

/**
 * @brief Writes an event as one JSON line.
 * @param level Severity of the event.
 * @param event Stable name, such as `session.refused`, that operators can search for.
 * @param fields Additional values; never secrets or statement text.
 */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}
