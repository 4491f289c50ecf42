#include "amaranthhall/telemetry/log.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <chrono>
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <string>
#include <unistd.h>

using namespace amaranthhall;

/// Guards against a daemon that blocks on logging because the reader of its output is slow or stopped. Standard output is replaced with a
/// pipe that nothing reads until readAvailable() is called.
TEST_GROUP(NonBlockingLog)
{
    std::array<int, 2> pipeEnds {};
    int savedStandardOutput { -1 };
    std::shared_ptr<spdlog::logger> previousLogger;

    void setup() override
    {
        this->previousLogger = spdlog::default_logger();
        CHECK(pipe(this->pipeEnds.data()) == 0);
        fcntl(this->pipeEnds[0], F_SETFL, O_NONBLOCK);
        fflush(stdout);
        this->savedStandardOutput = dup(STDOUT_FILENO);
        dup2(this->pipeEnds[1], STDOUT_FILENO);
        telemetry::openLog(telemetry::LogLevel::Info);
    }

    void teardown() override
    {
        dup2(this->savedStandardOutput, STDOUT_FILENO);
        for (const auto descriptor : { this->savedStandardOutput, this->pipeEnds[0], this->pipeEnds[1] })
            close(descriptor);
        spdlog::set_default_logger(this->previousLogger);
        spdlog::set_level(spdlog::level::off);
    }

    [[nodiscard]] std::string readAvailable() const
    {
        std::string all;
        std::array<char, 65536> buffer {};
        for (auto count = read(this->pipeEnds[0], buffer.data(), buffer.size()); count > 0; count = read(this->pipeEnds[0], buffer.data(), buffer.size()))
            all.append(buffer.data(), static_cast<std::size_t>(count));
        return all;
    }
};

TEST(NonBlockingLog, ASlowReaderLosesLinesButDoesNotBlockTheLogger)
{
    const auto startedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < 5000; ++i)
        telemetry::logEvent(telemetry::LogLevel::Info, "test.line", { { "text", std::string(100, 'x') } });
    CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(5));
    const auto first = this->readAvailable();
    CHECK(first.size() <= 65536);
    telemetry::logEvent(telemetry::LogLevel::Info, "test.last");
    const auto rest = this->readAvailable();
    CHECK(rest.find("log.lines_dropped") != std::string::npos);
    CHECK(rest.find("test.last") != std::string::npos);
}
