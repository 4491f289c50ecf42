#include "amaranthhall/standin/fault_connection.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::standin {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t firstBytesKept = 1024;

}

FaultLane::FaultLane(kernel::Loop& usedLoop, Random& usedRandom, Cut whenCut)
    : loop(usedLoop)
    , random(usedRandom)
    , cut(std::move(whenCut))
{
}

void FaultLane::setTarget(kernel::ByteStream* stream)
{
    this->target = stream;
}

void FaultLane::take(std::string_view bytes)
{
    if (this->fault.drop)
        return;
    auto due = this->loop.now() + this->fault.delay;
    if (this->fault.jitter > 0ms)
        due += std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, this->fault.jitter.count())(this->random));
    if (!this->waiting.empty())
        due = std::max(due, this->waiting.back().due);
    this->waiting.push_back({ .due = due, .bytes = std::string(bytes) });
    this->pump();
}

void FaultLane::setFault(const DirectionFault& changed)
{
    this->fault = changed;
    this->passed = 0;
    if (this->fault.drop)
        this->waiting.clear();
    this->pump();
}

void FaultLane::whenEmpty(std::function<void()> callback)
{
    this->emptied = std::move(callback);
    this->pump();
}

void FaultLane::pump()
{
    this->timer.reset();
    while (!this->waiting.empty() && !this->fault.hold) {
        const auto now = this->loop.now();
        if (this->waiting.front().due > now) {
            this->timer = this->loop.after(this->waiting.front().due - now, [this] { this->pump(); });
            return;
        }
        if (!this->target && this->firstPass)
            std::exchange(this->firstPass, nullptr)();
        if (!this->target)
            return;
        auto bytes = std::move(this->waiting.front().bytes);
        this->waiting.pop_front();
        this->pass(std::move(bytes));
    }
    if (this->waiting.empty() && this->emptied)
        std::exchange(this->emptied, nullptr)();
}

void FaultLane::pass(std::string bytes)
{
    const bool isLast = this->fault.cutAfter && this->passed + bytes.size() >= *this->fault.cutAfter;
    if (isLast)
        bytes.resize(*this->fault.cutAfter - std::min(this->passed, *this->fault.cutAfter));
    this->passed += bytes.size();
    this->target->write(bytes);
    if (!isLast)
        return;
    this->waiting.clear();
    this->cut();
}

FaultConnection::FaultConnection(kernel::Loop& usedLoop, Random& random, kernel::Socket sourceSocket, kernel::Address usedTarget, Ended whenEnded)
    : loop(usedLoop)
    , targetAddress(std::move(usedTarget))
    , ended(std::move(whenEnded))
    , alive(std::make_shared<int>(0))
    , toTarget(usedLoop, random, [this] { this->end(); })
    , toSource(usedLoop, random, [this] { this->end(); })
{
    this->source = std::make_unique<kernel::ByteStream>(usedLoop, std::move(sourceSocket),
        kernel::ByteStream::Callbacks { .received = [this](auto bytes) { this->takeFromSource(bytes); }, .closed = this->closedBy(true) });
    this->toSource.setTarget(this->source.get());
    this->toTarget.onFirstPass([this] { this->connectTarget(); });
}

kernel::ByteStream::Notice FaultConnection::closedBy(bool isSource)
{
    return [this, isSource, living = std::weak_ptr(this->alive)] {
        if (!living.expired())
            this->endSide(isSource);
    };
}

void FaultConnection::connectTarget()
{
    auto socket = kernel::connectTo(this->targetAddress);
    if (!socket) {
        this->end();
        return;
    }
    this->target = std::make_unique<kernel::ByteStream>(this->loop, std::move(socket),
        kernel::ByteStream::Callbacks { .received = [this](auto bytes) { this->toSource.take(bytes); }, .closed = this->closedBy(false) });
    this->toTarget.setTarget(this->target.get());
}

void FaultConnection::apply(const FaultRule& rule)
{
    if (rule.cut) {
        this->end();
        return;
    }
    this->toTarget.setFault(rule.toTarget);
    this->toSource.setFault(rule.toSource);
}

void FaultConnection::takeFromSource(std::string_view bytes)
{
    const bool isNew = this->first.empty();
    if (this->first.size() < firstBytesKept)
        this->first.append(bytes.substr(0, firstBytesKept - this->first.size()));
    if (isNew && this->identified)
        this->identified();
    this->toTarget.take(bytes);
}

void FaultConnection::endSide(bool isSource)
{
    if (!this->target) {
        this->end();
        return;
    }
    // What the closed side sent before still arrives, then the other side is closed.
    auto& lane = isSource ? this->toTarget : this->toSource;
    auto& other = isSource ? this->target : this->source;
    lane.whenEmpty([&other] { other->closeAfterWrite(); });
    if (!this->source->connection() && !this->target->connection())
        this->end();
}

void FaultConnection::end()
{
    if (const auto call = std::exchange(this->ended, nullptr))
        this->loop.post(call);
}

}
