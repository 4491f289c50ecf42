#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <spdlog/spdlog.h>

int main(int count, char** arguments)
{
    // AddressSanitizer looks for leaks; CppUTest's own check clashes with libraries that keep caches.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    spdlog::set_level(spdlog::level::off);
    return CommandLineTestRunner::RunAllTests(count, arguments);
}
