#include "amaranthhall/http/client.hpp"
#include "amaranthhall/rig/http_call.hpp"
#include "amaranthhall/table/table_json.hpp"
#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <set>
#include <thread>

using namespace amaranthhall;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr auto inForceTarget = 6s;
constexpr auto convergeLimit = 20s;
constexpr auto editTimeout = 20s;

json getJson(std::uint16_t port, const std::string& path)
{
    const auto answer = rig::callHttp(port, { .path = path }, 3s);
    return answer ? json::parse(answer->body, nullptr, false) : json();
}

/// An edit that sets the weight of the first upstream.
struct WeightEdit {
    std::string id;
    table::Version expected { 1 };
    std::uint32_t weight { 50 };
};

http::Request makeRequest(const rig::Cluster& cluster, const WeightEdit& edit)
{
    auto image = cluster.firstTable();
    image.upstreams.front().weight = edit.weight;
    const json body { { "edit_id", edit.id }, { "expect_version", edit.expected }, { "table", json::parse(table::encodeTable(image)) } };
    return { .method = "POST", .path = "/v1/table/edit", .body = body.dump() };
}

json runEdit(const rig::Cluster& cluster, const rig::DaemonNode& daemon, const WeightEdit& edit)
{
    const auto answer = rig::callHttp(daemon.adminPort, makeRequest(cluster, edit), editTimeout);
    return answer ? json::parse(answer->body, nullptr, false) : json { { "outcome", "no answer" } };
}

/// Waits until a condition holds; tells whether it did in time.
bool await(const std::function<bool()>& condition, Duration limit = convergeLimit)
{
    const auto deadline = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

bool knowEachOther(rig::Cluster& cluster)
{
    const auto count = cluster.daemons().size();
    return std::all_of(cluster.daemons().begin(), cluster.daemons().end(), [&](const auto& daemon) {
        const auto answer = getJson(daemon.adminPort, "/v1/members");
        return answer.is_object() && answer.value("members", json::array()).size() == count;
    });
}

/// Tells whether all running daemons take work on this version.
bool workOn(rig::Cluster& cluster, table::Version version)
{
    return std::all_of(cluster.daemons().begin(), cluster.daemons().end(), [&](const auto& daemon) {
        if (!daemon.process->isRunning())
            return true;
        const auto answer = getJson(daemon.adminPort, "/v1/table");
        return answer.is_object() && answer.value("version", 0U) == version && answer.value("refuses_work_because", "?").empty();
    });
}

/// Runs edits side by side, and an action once they are under way.
std::vector<json> runTogether(const rig::Cluster& cluster, const std::vector<std::pair<const rig::DaemonNode*, WeightEdit>>& edits, Duration after = 0s, const std::function<void()>& action = {})
{
    kernel::Loop loop;
    http::Client client(loop);
    std::vector<json> results(edits.size());
    auto open = edits.size();
    for (std::size_t i = 0; i < edits.size(); ++i) {
        client.send({ .host = "127.0.0.1", .port = edits[i].first->adminPort }, makeRequest(cluster, edits[i].second), editTimeout, [&, i](const auto& answer) {
            results[i] = answer ? json::parse(answer->body, nullptr, false) : json { { "outcome", "no answer" } };
            if (--open == 0)
                loop.stop();
        });
    }
    const auto timer = loop.after(after, [&] {
        if (action)
            action();
    });
    loop.run();
    return results;
}

}

TEST_GROUP(TableEdits)
{
    std::unique_ptr<rig::Cluster> cluster;

    void start(const std::string& name, std::size_t daemons)
    {
        auto options = integration::makeOptions(name);
        options.daemons = daemons;
        cluster = std::make_unique<rig::Cluster>(options);
        CHECK(await([this] { return knowEachOther(*cluster); }));
    }

    [[nodiscard]] rig::DaemonNode& daemon(std::size_t index) const { return cluster->daemons().at(index); }
};

TEST(TableEdits, AnEditIsInForceOnEveryDaemon)
{
    start("edit-plain", 3);
    const auto result = runEdit(*cluster, daemon(0), { .id = "plain" });
    STRCMP_EQUAL("in_force", result.value("outcome", "").c_str());
    CHECK(workOn(*cluster, 2));
}

TEST(TableEdits, LostAnswersOfTheStoreNeitherLoseNorDoubleAnEdit)
{
    start("edit-lost-answers", 3);
    cluster->setPlatformFaults({ { "lose_answers", 2 } });
    STRCMP_EQUAL("in_force", runEdit(*cluster, daemon(0), { .id = "lost" }).value("outcome", "").c_str());
    const auto again = runEdit(*cluster, daemon(1), { .id = "lost" });
    STRCMP_EQUAL("in_force", again.value("outcome", "").c_str());
    LONGS_EQUAL(2, again.value("version", 0));
    CHECK(workOn(*cluster, 2));
}

TEST(TableEdits, AStoreThatGoesDownInMidEditLeavesOneOutcomeThatAskingAgainTells)
{
    start("edit-store-down", 3);
    cluster->setPlatformFaults({ { "slow_ms", 200 } });
    const auto told = runTogether(*cluster, { { &daemon(0), { .id = "down" } } }, 1100ms, [this] { cluster->setPlatformFaults({ { "down", true } }); }).front();
    const auto outcome = told.value("outcome", "");
    CHECK(outcome == "in_force" || outcome == "refused" || outcome == "unknown");
    cluster->setPlatformFaults({ { "down", false }, { "slow_ms", 0 } });
    std::string final;
    CHECK(await([&] {
        final = runEdit(*cluster, daemon(1), { .id = "down" }).value("outcome", "");
        return final == "in_force";
    }));
    CHECK(await([this] { return workOn(*cluster, 2); }));
}

TEST(TableEdits, ADaemonThatIsPausedInMidEditDelaysItAndWakesWithoutTakingWorkOnTheOldTable)
{
    start("edit-paused", 3);
    daemon(2).process->signal(SIGSTOP);
    const auto result = runEdit(*cluster, daemon(0), { .id = "paused" });
    STRCMP_EQUAL("in_force", result.value("outcome", "").c_str());
    CHECK(result.at("not_reached") == json::array({ "vm-03" }));
    daemon(2).process->signal(SIGCONT);
    const auto woken = getJson(daemon(2).adminPort, "/v1/table");
    CHECK(woken.value("version", 0) == 2 || !woken.value("refuses_work_because", "").empty());
    CHECK(await([this] { return workOn(*cluster, 2); }));
}

TEST(TableEdits, OfTwoEditorsOneWinsAndTheOtherIsToldWhatDiffers)
{
    start("edit-race", 3);
    const auto results = runTogether(*cluster, { { &daemon(0), { .id = "left", .weight = 40 } }, { &daemon(1), { .id = "right", .weight = 60 } } });
    const auto wins = std::count_if(results.begin(), results.end(), [](const auto& result) { return result.value("outcome", "") == "in_force"; });
    LONGS_EQUAL(1, wins);
    const auto& loser = results[0].value("outcome", "") == "in_force" ? results[1] : results[0];
    STRCMP_EQUAL("refused", loser.value("outcome", "").c_str());
    CHECK(await([this] { return workOn(*cluster, 2); }));
}

TEST(TableEdits, AnEditorThatDiesLeavesTheOthersOnOneVersion)
{
    start("edit-editor-dies", 3);
    cluster->setPlatformFaults({ { "slow_ms", 150 } });
    const auto told = runTogether(*cluster, { { &daemon(0), { .id = "dies" } } }, 850ms, [this] { daemon(0).process->kill(); }).front();
    cluster->setPlatformFaults({ { "slow_ms", 0 } });
    std::string outcome;
    CHECK(await([&] {
        outcome = runEdit(*cluster, daemon(1), { .id = "dies" }).value("outcome", "");
        return outcome == "in_force";
    }));
    CHECK(await([this] { return workOn(*cluster, 2); }));
}

TEST(TableEdits, ADaemonThatStartsWhileTheStoreIsDownGetsTheTableFromItsPeers)
{
    start("edit-start-in-outage", 3);
    STRCMP_EQUAL("in_force", runEdit(*cluster, daemon(0), { .id = "before" }).value("outcome", "").c_str());
    cluster->setPlatformFaults({ { "store_down", true } });
    daemon(1).process->kill();
    cluster->addDaemon();
    CHECK(await([this] { return workOn(*cluster, 2); }));
    std::this_thread::sleep_for(5s); // longer than a lease
    CHECK(workOn(*cluster, 2));
}

TEST(TableEdits, FifteenDaemonsHaveAnEditInForceWithinTheTarget)
{
    start("edit-fifteen", 15);
    std::vector<long> times;
    for (table::Version version = 1; version <= 10; ++version) {
        const auto begun = Clock::now();
        const auto result = runEdit(*cluster, daemon(version), { .id = "e" + std::to_string(version), .expected = version, .weight = static_cast<std::uint32_t>(version) });
        const auto taken = Clock::now() - begun;
        STRCMP_EQUAL("in_force", result.value("outcome", "").c_str());
        CHECK(result.at("not_reached").empty());
        CHECK(taken < inForceTarget);
        CHECK(workOn(*cluster, version + 1));
        times.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(taken).count());
    }
    const auto file = integration::makeOptions("edit-fifteen").workFolder + "/in_force_ms.json";
    std::ofstream(file) << json(times).dump() << '\n';
}
