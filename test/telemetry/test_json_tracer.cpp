#include "amaranthhall/telemetry/json_tracer.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
#include <vector>

using namespace amaranthhall;

namespace {

struct Fixture {
    std::vector<nlohmann::json> lines;
    std::shared_ptr<telemetry::JsonTracer> tracer = std::make_shared<telemetry::JsonTracer>([this](auto line) { this->lines.push_back(nlohmann::json::parse(line)); }, Random(1));
};

}

TEST_GROUP(JsonTracer) {};

TEST(JsonTracer, AChildSharesItsParentsTrace)
{
    Fixture fixture;
    {
        const auto parent = fixture.tracer->StartSpan("session.receive");
        const auto child = fixture.tracer->StartSpan("dispatch.queue", { opentracing::ChildOf(&parent->context()) });
        child->SetTag("upstream", std::string("a"));
    }
    CHECK_EQUAL(2U, fixture.lines.size());
    const auto& child = fixture.lines[0];
    const auto& parent = fixture.lines[1];
    CHECK(child["trace"] == parent["trace"]);
    CHECK(child["parent"] == parent["span"]);
    CHECK(child["tags"]["upstream"] == "a");
    CHECK(!parent.contains("parent"));
}

TEST(JsonTracer, AnUnsampledTraceIsNotWritten)
{
    Fixture fixture;
    const telemetry::JsonSpanContext context({ .traceId = std::string(32, 'a'), .spanId = std::string(16, 'b'), .isSampled = false });
    fixture.tracer->StartSpan("session.receive", { opentracing::ChildOf(&context) })->Finish();
    CHECK_EQUAL(0U, fixture.lines.size());
}

TEST(JsonTracer, ASpanIsWrittenOnce)
{
    Fixture fixture;
    const auto span = fixture.tracer->StartSpan("session.receive");
    span->Finish();
    span->Finish();
    CHECK_EQUAL(1U, fixture.lines.size());
}
