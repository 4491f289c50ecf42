#include "amaranthhall/session/session_context.hpp"

#include <random>

namespace amaranthhall::session {

namespace {

    using namespace std::chrono_literals;

    constexpr auto abandonedLimit = 60s; // longer than any link lives after it was discarded

}

SessionContext::SessionContext(kernel::Loop& usedLoop, kernel::Registry& registry, const kernel::Settings& usedSettings)
    : loop(usedLoop)
    , settings(usedSettings)
    , table(registry.find<table::TableSource>("table"))
    , dispatcher(registry.find<upstream::Dispatcher>("dispatch"))
    , confirmer(registry.find<upstream::Confirmer>("confirm"))
    , metrics(registry.find<telemetry::Metrics>("metrics"))
    , tracer(registry.findOptional<telemetry::Tracer>("tracer"))
    , random(std::random_device {}())
{
    if (!usedSettings.callers.tlsCertificate.empty())
        this->tls = std::make_unique<TlsContext>(usedSettings.callers.tlsCertificate, usedSettings.callers.tlsKey);
}

void SessionContext::keepUntilEnd(std::shared_ptr<Attempt> attempt)
{
    const auto now = this->loop.now();
    this->abandoned.remove_if([&](const Abandoned& item) { return item.attempt->hasEnded() || now - item.since > abandonedLimit; });
    this->abandoned.push_back({ .attempt = std::move(attempt), .since = now });
}

}
