#include "session/session_bench.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdlib>
#include <rapidcheck.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t welcomeLines = 11;

std::string makeCancelRequest(const session::CancelKey& key)
{
    pgwire::FrameWriter writer;
    writer.begin(0);
    writer.addInt32(80877102);
    writer.addInt32(key.process);
    writer.addInt32(key.secret);
    writer.end();
    return writer.bytes();
}

std::string query(const std::string& text)
{
    return text + std::string(1, '\0');
}

std::size_t countReady(const std::vector<std::string>& lines)
{
    return static_cast<std::size_t>(std::count(lines.begin(), lines.end(), "Z I"));
}

}

TEST_GROUP(CallerListener) {};

TEST(CallerListener, ACancelRequestNeedsTheSecret)
{
    session::fakes::SessionBench bench;
    bench.upstream.replies["select"] = { { "silent" } };
    bench.start();
    session::fakes::RawCaller caller(bench);
    caller.sendStartup("coach-ledger");
    CHECK(caller.await(welcomeLines));
    caller.sendMessage('Q', query("select 1"));
    CHECK(bench.turnUntil([&] { return bench.upstream.events.size() == 2; }));
    session::fakes::RawCaller forger(bench);
    forger.send(makeCancelRequest({ .process = 1, .secret = 12345 }));
    CHECK(bench.turnUntil([&] { return forger.isClosed(); }));
    CHECK_EQUAL(2, bench.upstream.events.size());
    session::fakes::RawCaller canceller(bench);
    canceller.send(makeCancelRequest(caller.cancelKey()));
    CHECK(caller.await(welcomeLines + 2));
    CHECK(caller.lines()[welcomeLines] == "E S=ERROR C=57014 M=canceling statement due to user request");
    CHECK(caller.lines()[welcomeLines + 1] == "Z I");
}

TEST(CallerListener, TheCallerLimitCountsOpenSessionsOnly)
{
    session::fakes::SessionBench bench;
    bench.image.services.front().callerLimit = 1;
    bench.start();
    {
        session::fakes::RawCaller first(bench);
        first.sendStartup("coach-ledger");
        CHECK(first.await(welcomeLines));
        session::fakes::RawCaller second(bench);
        second.sendStartup("coach-ledger");
        CHECK(second.await(1));
        CHECK(second.lines()[0].find("C=53300") != std::string::npos);
    }
    CHECK(bench.turnUntil([&] { return bench.listener->openSessions() == 0; }));
    session::fakes::RawCaller third(bench);
    third.sendStartup("coach-ledger");
    CHECK(third.await(welcomeLines));
}

TEST(CallerListener, ADrainClosesIdleCallersAndCutsTheRestAtItsLimit)
{
    session::fakes::SessionBench bench(2);
    bench.settings.drainLimit = 50ms;
    bench.start();
    session::fakes::RawCaller idle(bench);
    session::fakes::RawCaller busy(bench);
    idle.sendStartup("coach-ledger");
    busy.sendStartup("coach-ledger");
    CHECK(idle.await(welcomeLines));
    CHECK(busy.await(welcomeLines));
    busy.sendMessage('Q', query("begin"));
    CHECK(busy.await(welcomeLines + 2));
    bool isDrained = false;
    bench.listener->drain([&] { isDrained = true; });
    CHECK(idle.await(welcomeLines + 1));
    CHECK(idle.lines().back().find("C=57P01") != std::string::npos);
    CHECK(!isDrained);
    CHECK(bench.turnUntil([&] { return isDrained; }));
    CHECK(busy.lines().back().find("C=57P01") != std::string::npos);
}

TEST(CallerListener, ACallerThatGoesGivesItsTransactionUp)
{
    session::fakes::SessionBench bench;
    bench.start();
    {
        session::fakes::RawCaller caller(bench);
        caller.sendStartup("coach-ledger");
        CHECK(caller.await(welcomeLines));
        caller.sendMessage('Q', query("begin"));
        CHECK(caller.await(welcomeLines + 2));
    }
    CHECK(bench.turnUntil([&] { return bench.upstream.events.back() == "discard"; }));
}

TEST(CallerListener, ASlowCallerHoldsTheUpstreamBack)
{
    session::fakes::SessionBench bench;
    const auto row = "D " + std::string(1U << 20U, 'x');
    bench.upstream.replies["select"] = { { "T a", row, row, row, row, row, row, row, row, row, row, row, row, "C SELECT 12" } };
    bench.start();
    session::fakes::RawCaller caller(bench);
    caller.sendStartup("coach-ledger");
    CHECK(caller.await(welcomeLines));
    caller.sendMessage('Q', query("select a"));
    CHECK(caller.await(welcomeLines + 15));
    const std::vector<std::string> expected { "request read barrier", "run {select a}", "pause", "resume", "return" };
    CHECK(bench.upstream.events == expected);
}

TEST(CallerListener, AnAnswerAfterTheDeadlineReachesNobody)
{
    session::fakes::SessionBench bench(2);
    bench.image.services.front().statementDeadline = 30ms;
    bench.upstream.replies["select 1"] = { { "late", "T a", "D mixed", "C SELECT 1" } };
    bench.upstream.replies["select 2"] = { { "T a", "D own", "C SELECT 1" } };
    bench.start();
    session::fakes::RawCaller caller(bench);
    caller.sendStartup("coach-ledger");
    CHECK(caller.await(welcomeLines));
    caller.sendMessage('Q', query("select 1"));
    CHECK(caller.await(welcomeLines + 2));
    caller.sendMessage('Q', query("select 2"));
    CHECK(caller.await(welcomeLines + 6));
    bench.turnFor(150ms);
    CHECK_EQUAL(welcomeLines + 6, caller.lines().size());
    CHECK(caller.lines()[welcomeLines].find("C=57014") != std::string::npos);
    CHECK(caller.lines()[welcomeLines + 3] == "D own");
    CHECK(bench.upstream.lateAnswers == 1);
}

TEST(CallerListener, AnyInterleavingHandsEachCallerItsOwnAnswers)
{
    setenv("RC_PARAMS", "seed=11", 0);
    const auto isOwn = rc::check("each caller gets its own whole answers, in order", [] {
        session::fakes::SessionBench bench(2);
        bench.upstream.echoes = true;
        bench.start();
        std::vector<std::unique_ptr<session::fakes::RawCaller>> callers;
        for (int i = 0; i < 4; ++i) {
            callers.push_back(std::make_unique<session::fakes::RawCaller>(bench));
            callers.back()->sendStartup("coach-ledger");
        }
        std::vector<std::vector<std::string>> sent(callers.size());
        const auto turns = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 8));
        for (std::size_t i = 0; i < turns.size(); ++i) {
            const auto who = static_cast<std::size_t>(turns[i]) % callers.size();
            const bool isWrite = turns[i] >= 4;
            sent[who].push_back((isWrite ? "insert " : "select ") + std::to_string(i * 10 + who));
            callers[who]->sendMessage('Q', query(sent[who].back()));
            if (turns[i] % 3 == 0)
                bench.turnFor(1ms);
        }
        for (std::size_t who = 0; who < callers.size(); ++who) {
            RC_ASSERT(bench.turnUntil([&] { return countReady(callers[who]->lines()) == sent[who].size() + 1; }));
            std::vector<std::string> rows;
            for (const auto& line : callers[who]->lines()) {
                if (line.starts_with("D "))
                    rows.push_back(line.substr(2));
            }
            RC_ASSERT(rows == sent[who]);
        }
    });
    CHECK(isOwn);
}
