#include "amaranthhall/telemetry/log.hpp"

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace amaranthhall::telemetry {

namespace {

    spdlog::level::level_enum toLibraryLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return spdlog::level::debug;
        case LogLevel::Info:
            return spdlog::level::info;
        case LogLevel::Warning:
            return spdlog::level::warn;
        case LogLevel::Error:
            break;
        }
        return spdlog::level::err;
    }

    std::string timestamp()
    {
        const auto now = std::chrono::system_clock::now();
        const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() % 1'000'000;
        return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), micros);
    }

}

LogLevel parseLogLevel(std::string_view name) noexcept
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

void openLog(LogLevel least)
{
    auto logger = spdlog::stdout_logger_st("amaranthhall");
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
    setLogLevel(least);
}

void setLogLevel(LogLevel least)
{
    spdlog::set_level(toLibraryLevel(least));
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto libraryLevel = toLibraryLevel(level);
    if (!spdlog::should_log(libraryLevel))
        return;
    nlohmann::ordered_json line;
    line["time"] = timestamp();
    line["level"] = spdlog::level::to_string_view(libraryLevel).data();
    line["event"] = event;
    for (const auto& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
    spdlog::log(libraryLevel, "{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}
