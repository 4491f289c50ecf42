#include "platform/line_reader.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

using amaranthhall::fleet::LineReader;

TEST_GROUP(LineReader)
{
    LineReader reader;
};

TEST(LineReader, LinesDoNotDependOnChunkBoundaries)
{
    const std::string bytes = "STARTUP a b\r\nQUERY 1 READ x\r\n\r\nTERMINATE\r\n";
    const std::vector<std::string> expected { "STARTUP a b", "QUERY 1 READ x", "", "TERMINATE" };
    for (std::size_t chunkSize = 1; chunkSize <= bytes.size(); ++chunkSize) {
        LineReader chunkedReader;
        std::vector<std::string> lines;
        for (std::size_t i = 0; i < bytes.size(); i += chunkSize) {
            chunkedReader.append(bytes.substr(i, chunkSize));
            while (const auto line = chunkedReader.next())
                lines.emplace_back(*line);
        }
        CHECK(lines == expected);
        CHECK_TRUE(chunkedReader.isEmpty());
    }
}

TEST(LineReader, ALineOverTheLimitIsReported)
{
    this->reader.append(std::string(LineReader::maximumLineLength, 'x'));
    CHECK_FALSE(this->reader.next().has_value());
    CHECK_FALSE(this->reader.isLineTooLong());
    this->reader.append("x");
    CHECK_TRUE(this->reader.isLineTooLong());
}

TEST(LineReader, ALoneLineFeedDoesNotEndALine)
{
    this->reader.append("a\nb\rc\r\n");
    CHECK(this->reader.next() == "a\nb\rc");
}
