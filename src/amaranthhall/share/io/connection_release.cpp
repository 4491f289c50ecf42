#include "amaranthhall/share/io/connection_release.hpp"

#include "amaranthhall/telemetry/log.hpp"

namespace amaranthhall::share {

namespace {

    using namespace std::chrono_literals;

    constexpr auto releaseTimeout = 2s;

    std::string quote(const std::string& text)
    {
        std::string quoted = "'";
        for (const auto character : text) {
            if (character == '\'')
                quoted += '\'';
            quoted += character;
        }
        return quoted + "'";
    }

}

ConnectionRelease::ConnectionRelease(kernel::Loop& usedLoop, upstream::LinkOptions options, std::string usedVm, ReleaseCallback usedCallback)
    : loop(usedLoop)
    , link(usedLoop, std::move(options))
    , vm(std::move(usedVm))
    , callback(std::move(usedCallback))
{
}

void ConnectionRelease::start()
{
    this->timer = this->loop.after(releaseTimeout, [this] { this->finish(false); });
    this->link.open([this](const pgwire::ErrorFields& error) {
        if (!error.fields.empty()) {
            this->finish(false);
            return;
        }
        this->link.run({ .queries = { { .text = "SELECT released FROM ah_release(" + quote(this->vm) + ")" } } }, *this); }, [this] { this->finish(false); });
}

void ConnectionRelease::onCompleted(std::size_t, std::string_view)
{
    this->completed = true;
}

void ConnectionRelease::onError(std::size_t, const pgwire::ErrorFields& error)
{
    this->failed = true;
    telemetry::logEvent(telemetry::LogLevel::Warning, "share.release_failed", { { "vm", this->vm }, { "sqlstate", error.sqlstate() } });
}

void ConnectionRelease::onEnd(const upstream::BatchEnd& end)
{
    this->finish(this->completed && !this->failed && !end.lost);
}

void ConnectionRelease::finish(bool isReleased)
{
    this->timer.reset();
    // The callback may destroy this object, so it is posted to the loop.
    if (auto call = std::exchange(this->callback, nullptr))
        this->loop.post([call = std::move(call), isReleased] { call(isReleased); });
}

}
