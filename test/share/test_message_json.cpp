#include "amaranthhall/share/message_json.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using share::Process;

namespace {

const group::UpstreamId upstreamA { { "coach-ledger", "1" }, "a" };
const Process one { "vm-1", 17, { "127.0.0.1", 7001 } };
const Process two { "vm-2", 18, { "127.0.0.1", 7002 } };

share::EpochRecord makeRecord()
{
    const share::EpochMembers first { .epoch = 4, .grantors = { one }, .holders = { one, two }, .limits = { { upstreamA, 30 } } };
    return { .current = { .epoch = 5, .grantors = { two }, .limits = { { upstreamA, 60 } } }, .dealer = two, .earlier = { first }, .settled = true };
}

std::string sendThrough(const share::Request& request)
{
    const auto read = share::decodeRequest(share::nameMethod(request), share::encodeRequest(request));
    return read ? share::encodeRequest(*read).dump() : "";
}

}

TEST_GROUP(ShareMessageJson) {};

TEST(ShareMessageJson, RequestsKeepTheirFields)
{
    const std::vector<share::Request> requests {
        share::Learn {},
        share::Renew { 5, one, 3 },
        share::Close { 5, 3 },
        share::Move { 5, 3 },
        share::Open { makeRecord(), 3, { { upstreamA, 7 } } },
        share::Take { 5, 9, one, upstreamA, 3, 1, true, true },
    };
    for (const auto& request : requests)
        CHECK(sendThrough(request) == share::encodeRequest(request).dump());
}

TEST(ShareMessageJson, TheRowKeepsItsFields)
{
    CHECK(*share::decodeRecord(share::encodeRecord(makeRecord())) == makeRecord());
}

TEST(ShareMessageJson, ResponsesKeepTheirFields)
{
    const auto taken = share::decodeResponse("shares.take", share::encodeResponse(share::Taken { .given = 2, .held = 5 }));
    CHECK_EQUAL(2U, std::get<share::Taken>(*taken).given);
    CHECK_EQUAL(5U, std::get<share::Taken>(*taken).held);
    const auto moved = share::decodeResponse("shares.move", share::encodeResponse(share::Moved { .held = true, .counts = { { upstreamA, 4 } } }));
    CHECK_EQUAL(4U, std::get<share::Moved>(*moved).counts.at(upstreamA));
    const auto closed = share::decodeResponse("shares.close", share::encodeResponse(share::Closed { .sameProcess = true, .holders = { one } }));
    CHECK(std::get<share::Closed>(*closed).holders.front() == one);
    const auto learned = share::decodeResponse("shares.learn", share::encodeResponse(share::Learned { .self = one, .record = makeRecord() }));
    CHECK(std::get<share::Learned>(*learned).record == makeRecord());
}

TEST(ShareMessageJson, AMalformedMessageIsRefused)
{
    for (const auto method : share::listMethods()) {
        for (const auto* text : { "[]", "null", R"({"e":"x"})", R"({"e":1,"h":[1,2,3],"g":1})" }) {
            if (method != "shares.learn")
                CHECK(!share::decodeRequest(method, nlohmann::json::parse(text)));
        }
    }
    CHECK(!share::decodeRecord(nlohmann::json::parse("{}")));
}
