#include "amaranthhall/membership/failure_detector.hpp"

#include "amaranthhall/membership/member_json.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <set>

using namespace amaranthhall;
using namespace std::chrono_literals;
using membership::Detector;
using membership::Member;
using membership::MemberState;

namespace {

Member makeMember(int number)
{
    return { .id = "vm-" + std::to_string(number), .incarnation = 100, .zone = "zone-" + std::to_string(number % 3), .peer = { "127.0.0.1", static_cast<std::uint16_t>(1000 + number) } };
}

/// Simulates detectors that probe each other in virtual time; members of `unreachable` neither send nor answer.
struct Network {
    explicit Network(int count)
    {
        std::vector<membership::ListedVm> list;
        for (int i = 0; i < count; ++i) {
            this->detectors.push_back(Detector { .self = makeMember(i), .lastTick = this->now, .lastDeadProbe = this->now });
            auto listed = makeMember(i);
            listed.incarnation = 0;
            list.push_back({ .member = listed });
        }
        for (auto& detector : this->detectors)
            membership::mergeVmList(detector, list, this->now);
    }

    Detector* find(const std::string& id)
    {
        const auto number = std::stoul(id.substr(3));
        return this->unreachable.contains(id) ? nullptr : &this->detectors[number];
    }

    bool exchange(Detector& from, const Member& target)
    {
        const auto sent = membership::collectGossip(from, target.id, std::nullopt);
        auto* to = this->find(target.id);
        if (!to)
            return false;
        membership::merge(*to, sent.updates, this->now);
        const auto answer = membership::collectGossip(*to, from.self.id, sent.digest);
        this->messages += 2;
        this->largestMessage = std::max(this->largestMessage, std::max(sent.updates.size(), answer.updates.size()));
        membership::merge(from, answer.updates, this->now);
        return true;
    }

    void probe(Detector& from)
    {
        membership::expire(from, this->now);
        const auto target = membership::chooseProbe(from, this->now, this->random);
        if (!target || this->exchange(from, *target) || target->state == MemberState::Dead)
            return;
        bool hasAnswered = false;
        for (const auto& prober : membership::chooseIndirectProbers(from, target->id, this->random)) {
            auto* source = this->find(prober.id);
            hasAnswered = hasAnswered || (source && this->exchange(*source, *target));
        }
        if (!hasAnswered)
            membership::suspect(from, target->id, this->now);
    }

    void run(Duration length)
    {
        for (const auto end = this->now + length; this->now < end; this->now += 500ms) {
            for (auto& detector : this->detectors) {
                if (!this->unreachable.contains(detector.self.id))
                    this->probe(detector);
            }
        }
    }

    MemberState stateSeenBy(int observer, const std::string& id)
    {
        const auto found = this->detectors[observer].entries.find(id);
        return found == this->detectors[observer].entries.end() ? MemberState::Dead : found->second.member.state;
    }

    int countObservers(const std::string& id, MemberState state)
    {
        int count = 0;
        for (std::size_t i = 0; i < this->detectors.size(); ++i) {
            if (this->detectors[i].self.id != id && !this->unreachable.contains(this->detectors[i].self.id) && this->stateSeenBy(static_cast<int>(i), id) == state)
                ++count;
        }
        return count;
    }

    Time now { 1h };
    Random random { 7 };
    std::vector<Detector> detectors;
    std::set<std::string> unreachable;
    std::size_t messages { 0 };
    std::size_t largestMessage { 0 };
};

}

TEST_GROUP(FailureDetector) {};

TEST(FailureDetector, DetectsAnUnresponsiveMemberWithin5s)
{
    Network network(15);
    network.run(10s);
    network.unreachable.insert("vm-4");
    network.run(5s);
    CHECK_EQUAL(0, network.countObservers("vm-4", MemberState::Live));
    network.run(10s);
    CHECK_EQUAL(14, network.countObservers("vm-4", MemberState::Dead));
    CHECK_EQUAL(14U, membership::listMembers(network.detectors[0]).size());
}

TEST(FailureDetector, SpreadsTheLeavingStateWithin5s)
{
    Network network(15);
    network.run(10s);
    auto listed = makeMember(9);
    membership::mergeVmList(network.detectors[0], std::vector<membership::ListedVm> { { .member = listed, .leaving = true } }, network.now);
    network.run(4s);
    CHECK_EQUAL(14, network.countObservers("vm-9", MemberState::Leaving));
    CHECK(network.detectors[9].self.state == MemberState::Leaving);
}

TEST(FailureDetector, AFalseSuspicionIsRefuted)
{
    Network network(15);
    network.run(10s);
    membership::suspect(network.detectors[0], "vm-3", network.now);
    network.run(10s);
    CHECK_EQUAL(14, network.countObservers("vm-3", MemberState::Live));
    CHECK(network.detectors[3].self.incarnation > 100);
}

TEST(FailureDetector, APausedMemberRejoins)
{
    Network network(15);
    network.run(10s);
    network.unreachable.insert("vm-3");
    network.run(30s);
    CHECK_EQUAL(14, network.countObservers("vm-3", MemberState::Dead));
    network.unreachable.clear();
    network.run(20s);
    CHECK_EQUAL(14, network.countObservers("vm-3", MemberState::Live));
    for (int i = 0; i < 15; ++i)
        CHECK_EQUAL(15U, membership::listMembers(network.detectors[i]).size());
}

TEST(FailureDetector, AMemberThatContactsOnePeerBecomesKnownToAll)
{
    Network network(3);
    network.run(5s);
    network.detectors.push_back(Detector { .self = makeMember(3), .lastTick = network.now, .lastDeadProbe = network.now });
    membership::merge(network.detectors[3], std::vector<Member> { makeMember(0) }, network.now);
    network.run(10s);
    for (auto& detector : network.detectors)
        CHECK_EQUAL(4U, membership::listMembers(detector).size());
}

TEST(FailureDetector, MessageSizeDoesNotGrowWithTheNumberOfMembers)
{
    for (const int count : { 5, 100, 400 }) {
        Network network(count);
        network.run(5s);
        const auto options = membership::DetectorOptions {};
        CHECK(network.largestMessage <= options.updatesPerMessage + options.entriesPerPage + 2);
        const auto messagesPerDaemonAndSecond = static_cast<double>(network.messages) / count / 5;
        CHECK(messagesPerDaemonAndSecond <= 4.5);
    }
}

TEST(FailureDetector, AnOutdatedUpdateDoesNotOverrideANewerState)
{
    Network network(3);
    auto dead = makeMember(1);
    dead.state = MemberState::Dead;
    membership::merge(network.detectors[0], std::vector<Member> { dead, makeMember(1) }, network.now);
    CHECK(network.stateSeenBy(0, "vm-1") == MemberState::Dead);
    auto rejoined = makeMember(1);
    rejoined.incarnation = 101;
    membership::merge(network.detectors[0], std::vector<Member> { rejoined, dead }, network.now);
    CHECK(network.stateSeenBy(0, "vm-1") == MemberState::Live);
}

TEST(FailureDetector, AMemberRoundTripsThroughJson)
{
    auto member = makeMember(5);
    member.state = MemberState::Leaving;
    member.region = "viti-west";
    member.admin = { "127.0.0.1", 9 };
    CHECK(*membership::decodeMember(membership::encodeMember(member)) == member);
    CHECK(!membership::decodeMember(nlohmann::json::parse(R"(["vm",1,9,"r","z","127.0.0.1:1","127.0.0.1:1"])")));
    CHECK(!membership::decodeMember(nlohmann::json::parse(R"({"id":1})")));
}
