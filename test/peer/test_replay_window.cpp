#include "amaranthhall/peer/replay_window.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using peer::Freshness;

TEST_GROUP(ReplayWindow) {};

TEST(ReplayWindow, RejectsAReusedNonce)
{
    peer::ReplayWindow window(100s);
    CHECK(window.admit("a", 110s, 110s) == Freshness::Fresh);
    CHECK(window.admit("b", 110s, 110s) == Freshness::Fresh);
    CHECK(window.admit("a", 110s, 125s) == Freshness::Replayed);
}

TEST(ReplayWindow, RejectsAMessageOutsideTheAcceptedTimeRange)
{
    peer::ReplayWindow window(100s);
    CHECK(window.admit("a", 110s, 110s) == Freshness::Fresh);
    for (auto now = 110s; now < 200s; ++now)
        CHECK(window.admit("a", 110s, now) != Freshness::Fresh);
    CHECK(window.admit("c", 300s, 200s) == Freshness::Stale);
}

TEST(ReplayWindow, AMessageWithAFutureTimestampCannotBeReplayedLater)
{
    peer::ReplayWindow window(100s);
    CHECK(window.admit("a", 124s, 110s) == Freshness::Fresh);
    for (auto now = 111s; now < 200s; ++now)
        CHECK(window.admit("a", 124s, now) != Freshness::Fresh);
}

TEST(ReplayWindow, RejectsAMessageSentBeforeTheReceiverStarted)
{
    peer::ReplayWindow window(100s);
    CHECK(window.admit("a", 99s, 101s) == Freshness::Stale);
}

TEST(ReplayWindow, LimitsTheNumberOfStoredNonces)
{
    peer::ReplayWindow window(100s);
    for (int i = 0; i < 65'536; ++i)
        CHECK(window.admit(std::to_string(i), 110s, 110s) == Freshness::Fresh);
    CHECK(window.admit("one more", 110s, 110s) == Freshness::Overloaded);
    CHECK(window.admit("one more", 145s, 145s) == Freshness::Fresh);
}
