#include "amaranthhall/share/message_json.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using share::Process;

namespace {

const group::UpstreamId upstreamA { { "coach-ledger", "1" }, "a" };
const Process firstProcess { "vm-1", 17, { "127.0.0.1", 7001 } };
const Process secondProcess { "vm-2", 18, { "127.0.0.1", 7002 } };

share::EpochRecord makeRecord()
{
    const share::EpochConfiguration first { .epoch = 4, .grantors = { firstProcess }, .holders = { firstProcess, secondProcess }, .limits = { { upstreamA, 30 } } };
    return { .current = { .epoch = 5, .grantors = { secondProcess }, .limits = { { upstreamA, 60 } } }, .coordinator = secondProcess, .earlierEpochs = { first }, .settled = true };
}

std::string roundTrip(const share::Request& request)
{
    const auto decoded = share::decodeRequest(share::nameMethod(request), share::encodeRequest(request));
    return decoded ? share::encodeRequest(*decoded).dump() : "";
}

}

TEST_GROUP(ShareMessageJson) {};

TEST(ShareMessageJson, RequestsRoundTrip)
{
    const std::vector<share::Request> requests {
        share::LearnRequest {},
        share::RenewRequest { 5, firstProcess, 3 },
        share::CloseRequest { 5, 3 },
        share::MoveRequest { 5, 3 },
        share::OpenRequest { makeRecord(), 3, { { upstreamA, 7 } } },
        share::TakeRequest { 5, 9, firstProcess, upstreamA, 3, 1, true, true },
    };
    for (const auto& request : requests)
        CHECK(roundTrip(request) == share::encodeRequest(request).dump());
}

TEST(ShareMessageJson, TheRecordRoundTrips)
{
    CHECK(*share::decodeRecord(share::encodeRecord(makeRecord())) == makeRecord());
}

TEST(ShareMessageJson, ResponsesRoundTrip)
{
    const auto takeResponse = share::decodeResponse("shares.take", share::encodeResponse(share::TakeResponse { .transferred = 2, .held = 5 }));
    CHECK_EQUAL(2U, std::get<share::TakeResponse>(*takeResponse).transferred);
    CHECK_EQUAL(5U, std::get<share::TakeResponse>(*takeResponse).held);
    const auto moveResponse = share::decodeResponse("shares.move", share::encodeResponse(share::MoveResponse { .leaseValid = true, .counts = { { upstreamA, 4 } } }));
    CHECK_EQUAL(4U, std::get<share::MoveResponse>(*moveResponse).counts.at(upstreamA));
    const auto closeResponse = share::decodeResponse("shares.close", share::encodeResponse(share::CloseResponse { .sameProcess = true, .holders = { firstProcess } }));
    CHECK(std::get<share::CloseResponse>(*closeResponse).holders.front() == firstProcess);
    const auto learnResponse = share::decodeResponse("shares.learn", share::encodeResponse(share::LearnResponse { .self = firstProcess, .record = makeRecord() }));
    CHECK(std::get<share::LearnResponse>(*learnResponse).record == makeRecord());
}

TEST(ShareMessageJson, MalformedMessagesAreRejected)
{
    for (const auto method : share::listMethods()) {
        for (const auto* text : { "[]", "null", R"({"e":"x"})", R"({"e":1,"h":[1,2,3],"g":1})" }) {
            if (method != "shares.learn")
                CHECK(!share::decodeRequest(method, nlohmann::json::parse(text)));
        }
    }
    CHECK(!share::decodeRecord(nlohmann::json::parse("{}")));
}
