#pragma once

// The record of a case: what was sent, answered and run, and which rule was broken.

#include "net.hpp"

#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <vector>

namespace review {

class Record {
public:
    explicit Record(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
    {
        if (!this->file)
            throw std::runtime_error("cannot write the record");
    }

    [[nodiscard]] double seconds() const { return std::chrono::duration<double>(Clock::now() - this->startedAt).count(); }

    void write(const std::string& text)
    {
        const std::lock_guard guard(this->mutex);
        std::fprintf(this->file, "%9.4f %s\n", this->seconds(), text.c_str());
    }

    /// Writes a line to the record and to standard output.
    void say(const std::string& text)
    {
        this->write(text);
        std::printf("%8.3f %s\n", this->seconds(), text.c_str());
        std::fflush(stdout);
    }

    void violation(const std::string& text)
    {
        {
            const std::lock_guard guard(this->mutex);
            ++this->violations;
        }
        this->say("VIOLATION " + text);
    }

    [[nodiscard]] int violationCount()
    {
        const std::lock_guard guard(this->mutex);
        return this->violations;
    }

    void flush()
    {
        const std::lock_guard guard(this->mutex);
        std::fflush(this->file);
    }

private:
    std::FILE* file;
    std::mutex mutex;
    Time startedAt { Clock::now() };
    int violations { 0 };
};

/// Returns whether the run has its disruption; `TROUBLE=0` leaves it out.
inline bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

}
