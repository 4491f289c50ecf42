#include "amaranthhall/pgwire/frame.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

TEST_GROUP(FrameReader) {};

TEST(FrameReader, ReturnsAMessageOnceItIsComplete)
{
    pgwire::FrameWriter writer;
    writer.addCommandComplete("SELECT 1");
    pgwire::FrameReader reader(1024);
    for (std::size_t i = 0; i + 1 < writer.bytes().size(); ++i) {
        reader.append(std::string_view(writer.bytes()).substr(i, 1));
        CHECK(!reader.nextTyped()->has_value());
    }
    reader.append(std::string_view(writer.bytes()).substr(writer.bytes().size() - 1));
    const auto frame = reader.nextTyped();
    CHECK_EQUAL('C', (*frame)->type);
    CHECK((*frame)->body == std::string_view("SELECT 1\0", 9));
}

TEST(FrameReader, RejectsALengthOverTheLimit)
{
    pgwire::FrameReader reader(16);
    reader.append(std::string_view("Q\0\0\1\0", 5));
    const auto frame = reader.nextTyped();
    CHECK(!frame.has_value());
    CHECK(frame.error() == pgwire::WireError::Oversized);
}

TEST(FrameReader, RejectsALengthThatExcludesItself)
{
    pgwire::FrameReader reader(16);
    reader.append(std::string_view("Q\0\0\0\3", 5));
    CHECK(reader.nextTyped().error() == pgwire::WireError::Malformed);
}
