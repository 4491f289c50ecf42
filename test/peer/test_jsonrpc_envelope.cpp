#include "amaranthhall/peer/jsonrpc_envelope.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace amaranthhall;

TEST_GROUP(JsonrpcEnvelope) { peer::ServerEnvelope server; };

TEST(JsonrpcEnvelope, CarriesACallAndItsAnswer)
{
    this->server.addMethod("table.stage");
    const auto text = peer::encodeCall("table.stage", R"({"version":18446744073709551615,"name":"Ba \"ö\""})");
    CHECK(nlohmann::json::parse(text).at("jsonrpc") == "2.0");
    const auto call = this->server.decodeCall(text);
    CHECK(call.valid);
    CHECK(call.method == "table.stage");
    const auto parameters = nlohmann::json::parse(call.parameters);
    CHECK(parameters.at("version") == 18446744073709551615ULL);
    CHECK(parameters.at("name") == "Ba \"ö\"");
    const auto answer = peer::decodeAnswer(this->server.encodeAnswer(text, { .succeeded = true, .result = "[1,null,{\"a\":0.5}]" }));
    CHECK(answer.succeeded);
    CHECK(nlohmann::json::parse(answer.result) == nlohmann::json::parse("[1,null,{\"a\":0.5}]"));
}

TEST(JsonrpcEnvelope, CarriesAnError)
{
    this->server.addMethod("table.stage");
    const auto text = peer::encodeCall("table.stage", "{}");
    const auto answer = peer::decodeAnswer(this->server.encodeAnswer(text, { .code = peer::handlerErrorCode, .message = "conflict" }));
    CHECK(!answer.succeeded);
    CHECK_EQUAL(peer::handlerErrorCode, answer.code);
    CHECK(answer.message == "conflict");
}

TEST(JsonrpcEnvelope, RefusesAMethodThatIsNotServed)
{
    const auto call = this->server.decodeCall(peer::encodeCall("no.such", "{}"));
    CHECK(!call.valid);
    CHECK_EQUAL(peer::unknownMethodCode, peer::decodeAnswer(call.refusal).code);
}

TEST(JsonrpcEnvelope, RefusesWhatIsNoCall)
{
    this->server.addMethod("a");
    for (const auto* text : { "", "[]", "{", "{}", "null", R"([{"jsonrpc":"2.0","method":"a","params":{},"id":1}])", R"({"jsonrpc":"2.0","method":"a","params":{}})" })
        CHECK(!this->server.decodeCall(text).valid);
    for (const auto* text : { "", "{", "{}", "[]", R"({"jsonrpc":"2.0","id":1})" }) {
        CHECK(!peer::decodeAnswer(text).succeeded);
        CHECK_EQUAL(0, peer::decodeAnswer(text).code);
    }
}
