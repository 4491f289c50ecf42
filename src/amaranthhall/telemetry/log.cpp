#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <fmt/chrono.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>
#include <utility>

namespace amaranthhall::telemetry {

namespace {

    /// Writes lines to standard output without blocking: lines that the reader is too slow to accept are dropped and counted.
    class NonBlockingSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
    protected:
        void sink_it_(const spdlog::details::log_msg& message) override
        {
            if (!this->isWritable()) {
                ++this->droppedLines;
                return;
            }
            if (const auto count = std::exchange(this->droppedLines, 0))
                this->write(fmt::format("{{\"level\":\"warning\",\"event\":\"log.lines_dropped\",\"count\":{}}}\n", count));
            spdlog::memory_buf_t line;
            this->formatter_->format(message, line);
            this->write({ line.data(), line.size() });
        }

        void flush_() override { }

    private:
        [[nodiscard]] static bool isWritable() noexcept
        {
            pollfd output { .fd = STDOUT_FILENO, .events = POLLOUT };
            return poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
        }

        /// A pipe that polls as writable accepts 4096 bytes (PIPE_BUF) without blocking; longer lines are truncated.
        static void write(std::string_view line) noexcept
        {
            constexpr std::size_t maximumWriteSize = 4096;
            const auto size = std::min(line.size(), maximumWriteSize);
            // Write errors are ignored: the daemon keeps running when the reader has closed the pipe.
            static_cast<void>(!::write(STDOUT_FILENO, line.data(), size));
            if (size < line.size())
                static_cast<void>(!::write(STDOUT_FILENO, "\n", 1));
        }

        std::uint64_t droppedLines { 0 };
    };

    spdlog::level::level_enum toSpdlogLevel(LogLevel level)
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

void openLog(LogLevel minimumLevel)
{
    auto logger = std::make_shared<spdlog::logger>("amaranthhall", std::make_shared<NonBlockingSink>());
    logger->set_pattern("%v");
    spdlog::set_default_logger(std::move(logger));
    setLogLevel(minimumLevel);
}

void setLogLevel(LogLevel minimumLevel)
{
    spdlog::set_level(toSpdlogLevel(minimumLevel));
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto spdlogLevel = toSpdlogLevel(level);
    if (!spdlog::should_log(spdlogLevel))
        return;
    nlohmann::ordered_json line;
    line["time"] = timestamp();
    line["level"] = spdlog::level::to_string_view(spdlogLevel).data();
    line["event"] = event;
    for (const auto& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
    spdlog::log(spdlogLevel, "{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}
