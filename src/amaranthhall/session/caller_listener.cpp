#include "amaranthhall/session/caller_listener.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <limits>
#include <vector>

namespace amaranthhall::session {

namespace {

    constexpr int acceptsPerTurn = 64; // keeps a burst of callers from holding up those that are here

}

CallerListener::CallerListener(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, const kernel::Settings& usedSettings)
    : loop(usedLoop)
    , registry(usedRegistry)
    , settings(usedSettings)
{
}

CallerListener::~CallerListener()
{
    this->sessions.clear();
}

void CallerListener::start()
{
    this->context = std::make_unique<SessionContext>(this->loop, this->registry, this->settings);
    this->listener = kernel::listenOn(this->settings.listen.caller);
    this->boundPort = kernel::boundPort(this->listener);
    this->acceptWatch = this->loop.watch(this->listener.descriptor(), { .readable = true }, [this](auto) { this->accept(); });
}

void CallerListener::accept()
{
    for (int i = 0; i < acceptsPerTurn; ++i) {
        auto socket = kernel::acceptFrom(this->listener);
        if (!socket)
            return;
        auto session = std::make_shared<CallerSession>(*this->context, static_cast<SessionOwner&>(*this), std::move(socket));
        session->start();
        this->sessions.insert(std::move(session));
    }
}

void CallerListener::drain(std::function<void()> done)
{
    this->acceptWatch.reset();
    this->listener.close();
    this->drained = std::move(done);
    this->drainTimer = this->loop.after(this->settings.drainLimit, [this] { this->cutNow(); });
    const std::vector<std::shared_ptr<CallerSession>> open(this->sessions.begin(), this->sessions.end());
    for (const auto& session : open)
        session->drain();
    telemetry::logEvent(telemetry::LogLevel::Info, "callers.draining", { { "open", this->sessions.size() } });
    this->finishDrain();
}

void CallerListener::cutNow()
{
    const std::vector<std::shared_ptr<CallerSession>> open(this->sessions.begin(), this->sessions.end());
    for (const auto& session : open) {
        if (session->cut())
            telemetry::logEvent(telemetry::LogLevel::Warning, "session.cut", { { "service", session->service() }, { "process", session->cancelKey().process } });
    }
}

void CallerListener::stop()
{
    this->acceptWatch.reset();
    this->drainTimer.reset();
    this->drained = nullptr;
    this->sessions.clear();
    this->cancellable.clear();
}

void CallerListener::finishDrain()
{
    if (!this->drained || !this->sessions.empty())
        return;
    this->drainTimer.reset();
    this->loop.post(std::exchange(this->drained, nullptr));
}

void CallerListener::remove(CallerSession& session)
{
    this->loop.post([this, kept = session.shared_from_this()] {
        if (this->sessions.erase(kept) == 0)
            return;
        this->cancellable.erase(kept->cancelKey().process);
        if (const auto counted = this->sessionsOfService.find(kept->service()); counted != this->sessionsOfService.end() && kept->cancelKey().process != 0) {
            if (--counted->second == 0)
                this->sessionsOfService.erase(counted);
        }
        this->finishDrain();
    });
}

bool CallerListener::mayOpen(const table::ServiceRow& service) const noexcept
{
    const auto counted = this->sessionsOfService.find(service.name);
    return counted == this->sessionsOfService.end() || counted->second < service.callerLimit;
}

CancelKey CallerListener::makeCancelKey(CallerSession& session)
{
    do {
        this->lastProcess = this->lastProcess == std::numeric_limits<std::int32_t>::max() ? 1 : this->lastProcess + 1;
    } while (this->cancellable.contains(this->lastProcess));
    this->cancellable.emplace(this->lastProcess, &session);
    ++this->sessionsOfService[session.service()];
    return { .process = this->lastProcess, .secret = static_cast<std::int32_t>(this->context->random()) };
}

void CallerListener::cancel(const CancelKey& key)
{
    const auto found = this->cancellable.find(key.process);
    if (found != this->cancellable.end() && found->second->cancelKey() == key)
        found->second->cancel();
}

}
