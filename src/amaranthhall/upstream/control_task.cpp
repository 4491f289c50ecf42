#include "amaranthhall/upstream/control_task.hpp"

namespace amaranthhall::upstream::internal {

ControlTask::ControlTask(std::string usedUpstream, std::string usedQuery, ControlRunner::Done usedDone)
    : upstream(std::move(usedUpstream))
    , query(std::move(usedQuery))
    , done(std::move(usedDone))
{
}

void ControlTask::arm(kernel::Loop& loop, Time deadline, std::function<void(ControlTask&)> whenEnded)
{
    this->ended = std::move(whenEnded);
    this->timer = loop.after(deadline - loop.now(), [this] {
        this->silent = static_cast<bool>(this->lease);
        this->lease.discard();
        this->finish(std::nullopt);
    });
}

void ControlTask::runOn(LinkLease usedLease)
{
    this->lease = std::move(usedLease);
    Batch batch { .withPosition = true };
    if (!this->query.empty())
        batch.queries.push_back({ .text = this->query });
    this->lease->run(batch, *this);
}

std::function<void()> ControlTask::takeFailure()
{
    this->hasEnded = true;
    this->timer.reset();
    return [call = std::exchange(this->done, nullptr)] { call(std::nullopt); };
}

void ControlTask::onEnd(const BatchEnd& end)
{
    const auto held = this->shared_from_this();
    if (end.lost)
        this->lease.discard();
    else
        this->lease.release();
    this->finish(end.status);
}

void ControlTask::finish(const std::optional<group::UpstreamStatus>& status)
{
    const auto held = this->shared_from_this();
    this->hasEnded = true;
    this->timer.reset();
    this->ended(*this);
    std::exchange(this->done, nullptr)(status);
}

}
