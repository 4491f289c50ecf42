#include "amaranthhall/telemetry/trace_context.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

namespace {

constexpr std::string_view sample = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

}

TEST_GROUP(TraceContext) {};

TEST(TraceContext, RoundTripsThroughText)
{
    const auto context = telemetry::parseTraceparent(sample);
    CHECK(context.has_value());
    CHECK(context->isSampled);
    CHECK(telemetry::formatTraceparent(*context) == sample);
}

TEST(TraceContext, RejectsValuesThatTheStandardForbids)
{
    CHECK(!telemetry::parseTraceparent("").has_value());
    CHECK(!telemetry::parseTraceparent(sample.substr(1)).has_value());
    CHECK(!telemetry::parseTraceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01").has_value());
    CHECK(!telemetry::parseTraceparent("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01").has_value());
}

TEST(TraceContext, IsFoundInTheLastComment)
{
    const std::string statement = "SELECT 1 /* traceparent='junk' */ /*app='x',traceparent='" + std::string(sample) + "'*/";
    CHECK(telemetry::findTraceparent(statement).has_value());
    CHECK(!telemetry::findTraceparent("SELECT 1").has_value());
}
