#include "amaranthhall/share/io/share_service.hpp"

#include "amaranthhall/membership/io/member_service.hpp"
#include "amaranthhall/peer/http_peer_network.hpp"
#include "platform/fake_platform.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

const group::UpstreamId upstreamA { { "coach-ledger", "1" }, "a" };

/// Table source with constant content.
class FixedTable final : public kernel::Service, public table::TableSource {
public:
    explicit FixedTable(std::uint32_t limit)
    {
        this->content.version = 1;
        this->content.services.push_back({ .name = "coach-ledger", .database = "coach-ledger" });
        this->content.upstreams.push_back({ .id = upstreamA, .address = { "127.0.0.1", 1 }, .connectionLimit = limit });
    }

    [[nodiscard]] std::string_view name() const noexcept override { return "table"; }
    [[nodiscard]] const table::TableImage& image() const noexcept override { return this->content; }
    [[nodiscard]] bool mayTakeWork(std::string_view) const noexcept override { return true; }
    void onChange(kernel::Observers::Callback) override { }

private:
    table::TableImage content;
};

struct Daemon {
    Daemon(kernel::Loop& loop, platform::test::FakeStore& store, int number)
        : vm("vm-" + std::to_string(number))
    {
        this->registry.add(std::make_unique<telemetry::Metrics>());
        this->network = &this->registry.add(std::make_unique<peer::HttpPeerNetwork>(loop, this->registry, peer::PeerOptions { .vm = this->vm, .listen = { .host = "127.0.0.1" }, .keys = { "a key of 16 bytes or more" } }));
        this->registry.add(std::make_unique<platform::test::FakePlatform>(loop, store));
        this->registry.add(std::make_unique<FixedTable>(30));
        this->members = &this->registry.add(std::make_unique<membership::MemberService>(loop, this->registry, membership::MemberOptions { .vm = { this->vm, "viti-west", "zone-" + std::to_string(number % 3) } }));
        this->shares = &this->registry.add(std::make_unique<share::ShareService>(loop, this->registry, share::ShareServiceOptions { .vm = this->vm }));
        this->registry.start();
        store.vms.push_back({ .id = this->vm, .region = "viti-west", .zone = "zone-" + std::to_string(number % 3), .peer = this->network->listenAddress() });
    }
    ~Daemon() { this->registry.stop(); }
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    std::string vm;
    kernel::Registry registry;
    peer::HttpPeerNetwork* network { nullptr };
    membership::MemberService* members { nullptr };
    share::ShareService* shares { nullptr };
};

}

TEST_GROUP(ShareService)
{
    kernel::Loop loop;
    platform::test::FakeStore store;
    std::vector<std::unique_ptr<Daemon>> daemons;

    void start(int count)
    {
        for (int i = 1; i <= count; ++i)
            this->daemons.push_back(std::make_unique<Daemon>(this->loop, this->store, i));
    }

    /// Runs the loop until a condition holds or the time limit has passed; returns whether it holds.
    bool runUntil(const std::function<bool()>& holds, Duration limit)
    {
        const auto end = this->loop.now() + limit;
        const auto timer = this->loop.every(10ms, [&] {
            if (holds() || this->loop.now() >= end)
                this->loop.stop();
        });
        this->loop.run();
        return holds();
    }

    std::uint32_t totalAllowance() const
    {
        std::uint32_t sum = 0;
        for (const auto& daemon : this->daemons)
            sum += daemon->shares->allowance(upstreamA);
        return sum;
    }

    bool allDaemonsSee(std::size_t count) const
    {
        return std::all_of(this->daemons.begin(), this->daemons.end(), [&](const auto& daemon) { return daemon->members->members().size() == count; });
    }
};

TEST(ShareService, DaemonsDiscoverEachOtherAndAllocateTheWholeLimit)
{
    this->start(5);
    CHECK(this->runUntil([&] { return this->allDaemonsSee(5); }, 10s));
    CHECK(this->runUntil([&] { return this->totalAllowance() == 27; }, 20s));
    CHECK(this->runUntil([&] { return std::all_of(this->daemons.begin(), this->daemons.end(), [](const auto& daemon) { return daemon->shares->allowance(upstreamA) >= 1; }); }, 20s));
}

TEST(ShareService, ABusyDaemonGetsTheIdleShareOfTheOthers)
{
    this->start(5);
    CHECK(this->runUntil([&] { return this->totalAllowance() == 27; }, 20s));
    auto& busy = *this->daemons[2]->shares;
    busy.reportUse(upstreamA, { .waiting = 40 });
    CHECK(this->runUntil([&] { return busy.allowance(upstreamA) == 27; }, 2s));
}

TEST(ShareService, ALeavingVmIsMarkedEverywhereWithin5s)
{
    this->start(5);
    CHECK(this->runUntil([&] { return this->allDaemonsSee(5); }, 10s));
    this->store.vms[3].leaving = true;
    const auto isMarked = [&](const auto& daemon) {
        const auto members = daemon->members->members();
        return std::any_of(members.begin(), members.end(), [](const auto& member) { return member.id == "vm-4" && member.state == membership::MemberState::Leaving; });
    };
    CHECK(this->runUntil([&] { return std::all_of(this->daemons.begin(), this->daemons.end(), isMarked); }, 5s));
}
