#include "amaranthhall/pgwire/frame_writer.hpp"
#include "amaranthhall/session/startup.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

namespace {

std::string makeBody(std::initializer_list<std::string_view> texts)
{
    pgwire::FrameWriter writer;
    writer.addInt32(196608);
    for (const auto text : texts)
        writer.addText(text);
    return writer.bytes();
}

}

TEST_GROUP(Startup) {};

TEST(Startup, ReadsParametersAndOptions)
{
    const auto message = session::parseStartup(makeBody({ "user", "clerk", "options", "-c a=1 --b=two\\ words", "TimeZone", "UTC", "" }));
    CHECK(message.has_value());
    CHECK(message->database == "clerk");
    CHECK_EQUAL(3, message->parameters.size());
    CHECK(message->parameters[1] == std::make_pair(std::string("b"), std::string("two words")));
    CHECK(message->parameters[2].first == "TimeZone");
}

TEST(Startup, RefusesWhatIsMalformed)
{
    const auto whole = makeBody({ "user", "clerk", "database", "coach-ledger", "" });
    for (std::size_t length = 4; length < whole.size(); ++length)
        CHECK(session::parseStartup(whole.substr(0, length)).error().sqlstate == "08P01");
    CHECK(session::parseStartup("").error().sqlstate == "0A000");
    CHECK(session::parseStartup(makeBody({ "user", "clerk", "options", "-x", "" })).error().sqlstate == "08P01");
    CHECK(session::parseStartup(makeBody({ "database", "d", "" })).error().sqlstate == "28000");
}
