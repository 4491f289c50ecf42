#include "amaranthhall/upstream/group_pulse.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace amaranthhall::upstream;

namespace {

PulseAnswer makeAnswer(std::string name, group::Role role, group::Term term, group::Position position)
{
    return { .upstream = std::move(name), .status = { .role = role, .term = term, .last = { term, position }, .applied = position } };
}

}

TEST_GROUP(GroupPulse)
{
    PulseAnswer primary { makeAnswer("a", group::Role::Primary, 3, 100) };
    PulseAnswer replica { makeAnswer("b", group::Role::Replica, 3, 98) };
    PulseAnswer fenced { makeAnswer("c", group::Role::Replica, 4, 97) };
};

TEST(GroupPulse, ABarrierNeedsThePrimaryAndAWitnessOfItsTerm)
{
    const std::vector alone { this->primary };
    CHECK(!proveBarrier(alone));
    const std::vector witnessed { this->replica, this->primary };
    CHECK((proveBarrier(witnessed) == group::LogPoint { 3, 100 }));
}

TEST(GroupPulse, ASupersededPrimaryCannotSetABarrier)
{
    const std::vector superseded { this->primary, this->fenced };
    CHECK(!proveBarrier(superseded));
    const std::vector mixed { this->primary, this->replica, this->fenced };
    CHECK(!proveBarrier(mixed));
    const std::vector replicas { this->replica, this->fenced };
    CHECK(!proveBarrier(replicas));
}

TEST(GroupPulse, ATermIsCurrentIfAMajoritySaysSo)
{
    const std::vector two { this->primary, this->replica };
    CHECK(judgeTerm(two, 3, 3) == TermState::Current);
    const std::vector one { this->primary };
    CHECK(judgeTerm(one, 3, 3) == TermState::Unproven);
    const std::vector higher { this->primary, this->replica, this->fenced };
    CHECK(judgeTerm(higher, 3, 3) == TermState::Superseded);
}
