#include "amaranthhall/peer/jsonrpc_envelope.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace amaranthhall;

TEST_GROUP(JsonrpcEnvelope) { peer::EnvelopeCodec server; };

TEST(JsonrpcEnvelope, CarriesACallAndItsResponse)
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
    const auto response = peer::decodeResponse(this->server.encodeResponse(text, { .succeeded = true, .result = "[1,null,{\"a\":0.5}]" }));
    CHECK(response.succeeded);
    CHECK(nlohmann::json::parse(response.result) == nlohmann::json::parse("[1,null,{\"a\":0.5}]"));
}

TEST(JsonrpcEnvelope, CarriesAnError)
{
    this->server.addMethod("table.stage");
    const auto text = peer::encodeCall("table.stage", "{}");
    const auto response = peer::decodeResponse(this->server.encodeResponse(text, { .code = peer::handlerErrorCode, .message = "conflict" }));
    CHECK(!response.succeeded);
    CHECK_EQUAL(peer::handlerErrorCode, response.code);
    CHECK(response.message == "conflict");
}

TEST(JsonrpcEnvelope, RejectsAnUnregisteredMethod)
{
    const auto call = this->server.decodeCall(peer::encodeCall("no.such", "{}"));
    CHECK(!call.valid);
    CHECK_EQUAL(peer::methodNotFoundCode, peer::decodeResponse(call.errorResponse).code);
}

TEST(JsonrpcEnvelope, RejectsInvalidCallsAndResponses)
{
    this->server.addMethod("a");
    for (const auto* text : { "", "[]", "{", "{}", "null", R"([{"jsonrpc":"2.0","method":"a","params":{},"id":1}])", R"({"jsonrpc":"2.0","method":"a","params":{}})" })
        CHECK(!this->server.decodeCall(text).valid);
    for (const auto* text : { "", "{", "{}", "[]", R"({"jsonrpc":"2.0","id":1})" }) {
        CHECK(!peer::decodeResponse(text).succeeded);
        CHECK_EQUAL(0, peer::decodeResponse(text).code);
    }
}
