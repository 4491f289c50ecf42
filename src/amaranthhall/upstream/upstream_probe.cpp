#include "amaranthhall/upstream/upstream_probe.hpp"

#include <algorithm>
#include <charconv>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr auto answerTimeout = 1s; // after it the connection may be dead without either end knowing
    constexpr std::string_view statusColumns = "role, term, record_term, position, applied, leaving, feed_age";

    std::string makeText(const ControlRequest& request)
    {
        const std::string columns(statusColumns);
        switch (request.kind) {
        case ControlKind::Fence:
            return "SELECT accepted, " + columns + " FROM ah_fence(" + std::to_string(request.term) + ")";
        case ControlKind::Promote:
            return "SELECT promoted, " + columns + " FROM ah_promote(" + std::to_string(request.term) + ")";
        case ControlKind::Status:
            break;
        }
        return "SELECT " + columns + " FROM ah_status()";
    }

    std::uint64_t readNumber(const std::map<std::string, std::string>& cells, const std::string& column)
    {
        std::uint64_t value = 0;
        if (const auto cell = cells.find(column); cell != cells.end())
            std::from_chars(cell->second.data(), cell->second.data() + cell->second.size(), value);
        return value;
    }

    group::UpstreamStatus readStatus(const std::map<std::string, std::string>& cells)
    {
        const auto role = cells.find("role");
        return {
            .role = role != cells.end() && role->second == "primary" ? group::Role::Primary : group::Role::Replica,
            .term = readNumber(cells, "term"),
            .last = { .term = readNumber(cells, "record_term"), .position = readNumber(cells, "position") },
            .applied = readNumber(cells, "applied"),
            .isDraining = readNumber(cells, "leaving") != 0,
        };
    }

    group::Symptom readSymptom(std::string_view message)
    {
        const auto says = [&](std::string_view part) { return message.find(part) != std::string_view::npos; };
        if (says("FATAL"))
            return group::Symptom::Healthy;
        // A process that ended behind a forwarder shows as a connection that is taken and closed.
        return says("refused") || says("reset") || says("closed the connection") ? group::Symptom::Refused : group::Symptom::TimedOut;
    }

}

UpstreamProbe::UpstreamProbe(kernel::Loop& usedLoop, LinkOptions usedOptions, ProbeCallbacks usedCallbacks)
    : loop(usedLoop)
    , options(std::move(usedOptions))
    , callbacks(std::move(usedCallbacks))
{
}

UpstreamProbe::~UpstreamProbe() = default;

void UpstreamProbe::ask()
{
    if (this->running || !this->waiting.empty())
        return;
    this->waiting.push_back({ .kind = ControlKind::Status });
    this->proceed();
}

void UpstreamProbe::askAfter(Duration interval)
{
    if (this->loop.now() - this->askedAt >= interval)
        this->ask();
}

void UpstreamProbe::order(const ControlRequest& request)
{
    this->waiting.push_front(request);
    this->proceed();
}

void UpstreamProbe::proceed()
{
    if (this->dropTimer)
        return;
    if (!this->link)
        this->connect();
    else if (this->isOpen && !this->running && !this->waiting.empty())
        this->send();
}

void UpstreamProbe::connect()
{
    this->isOpen = false;
    this->askedAt = this->loop.now();
    this->callbacks.sent();
    this->link = std::make_unique<PqLink>(this->loop, this->options);
    this->link->open([this](const auto& error) {
        if (!error.fields.empty()) {
            this->waiting.clear();
            this->drop(readSymptom(error.message()));
            return;
        }
        this->isOpen = true;
        this->proceed(); }, [this] { this->drop(group::Symptom::TimedOut); });
}

void UpstreamProbe::send()
{
    this->running = this->waiting.front();
    this->waiting.pop_front();
    this->cells.clear();
    this->askedAt = this->loop.now();
    this->timeout = this->loop.after(answerTimeout, [this] { this->drop(group::Symptom::TimedOut); });
    this->callbacks.sent();
    Batch batch;
    batch.queries.push_back({ .text = makeText(*this->running) });
    this->link->run(batch, *this);
}

void UpstreamProbe::drop(group::Symptom symptom)
{
    const bool wasOpen = std::exchange(this->isOpen, false);
    this->running.reset();
    this->timeout.reset();
    // The link may be calling, so that it goes on the next turn; a broken one is tried again at once.
    this->dropTimer = this->loop.after(0ms, [this, wasOpen] {
        this->dropTimer.reset();
        this->link.reset();
        if (wasOpen)
            this->ask();
    });
    this->callbacks.failed(symptom);
}

void UpstreamProbe::onColumns(std::size_t, std::span<const pgwire::Column> described)
{
    this->columns.clear();
    for (const auto& column : described)
        this->columns.push_back(column.name);
}

void UpstreamProbe::onRow(std::size_t, std::span<const pgwire::Value> values)
{
    for (std::size_t i = 0; i < std::min(values.size(), this->columns.size()); ++i) {
        if (values[i])
            this->cells[this->columns[i]] = std::string(*values[i]);
    }
}

void UpstreamProbe::onEnd(const BatchEnd& end)
{
    if (!this->running)
        return;
    if (end.lost) {
        this->drop(group::Symptom::TimedOut);
        return;
    }
    this->timeout.reset();
    const auto request = *std::exchange(this->running, std::nullopt);
    if (this->cells.empty()) {
        this->callbacks.failed(group::Symptom::Healthy);
        return;
    }
    const auto outcome = request.kind == ControlKind::Fence ? "accepted" : "promoted";
    this->callbacks.answered({
        .request = request,
        .accepted = readNumber(this->cells, outcome) != 0,
        .status = readStatus(this->cells),
        .askedAt = this->askedAt,
        .feedAge = std::chrono::milliseconds(readNumber(this->cells, "feed_age")),
    });
    this->proceed();
}

}
