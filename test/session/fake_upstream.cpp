#include "session/fake_upstream.hpp"

#include <algorithm>

namespace amaranthhall::session::fakes {

namespace {

    std::vector<std::string> splitComma(std::string_view text)
    {
        std::vector<std::string> parts;
        for (auto comma = text.find(','); comma != std::string_view::npos; comma = text.find(',')) {
            parts.emplace_back(text.substr(0, comma));
            text.remove_prefix(comma + 1);
        }
        parts.emplace_back(text);
        return parts;
    }

    // A time differs from run to run.
    std::string printable(const std::string& parameter)
    {
        constexpr std::size_t epochDigits = 10;
        if (parameter.size() == epochDigits && parameter.find_first_not_of("0123456789") == std::string::npos)
            return "now";
        std::string text;
        for (const char letter : parameter)
            text += letter == '\n' ? std::string("\\n") : std::string(1, letter);
        return text;
    }

    std::string describe(const upstream::Query& query)
    {
        std::string text;
        if (query.kind == upstream::QueryKind::Prepare)
            text = "prepare ";
        if (query.kind == upstream::QueryKind::DescribePrepared)
            text = "describe";
        text += query.text;
        for (const auto& parameter : query.parameters)
            text += " [" + printable(parameter.value_or("NULL")) + "]";
        return text;
    }

    std::string formatPoint(const group::LogPoint& point)
    {
        return std::to_string(point.term) + "/" + std::to_string(point.position);
    }

}

Reply FakeUpstream::replyTo(std::string_view text)
{
    if (this->echoes)
        return { "T text", "D " + std::string(text), text.starts_with("insert") ? "C INSERT 0 1" : "C SELECT 1" };
    std::deque<Reply>* found = nullptr;
    for (auto& [beginning, listed] : this->replies) {
        if (text.starts_with(beginning))
            found = &listed;
    }
    if (!found)
        return { "C OK" };
    auto reply = found->front();
    if (found->size() > 1)
        found->pop_front();
    return reply;
}

FakeLink::FakeLink(kernel::Loop& usedLoop, FakeUpstream& usedUpstream)
    : loop(usedLoop)
    , upstream(usedUpstream)
{
}

void FakeLink::reset()
{
    ++this->runs;
    this->sink = nullptr;
    this->transaction = pgwire::TransactionStatus::Idle;
}

void FakeLink::run(const upstream::Batch& batch, upstream::ResultSink& usedSink)
{
    this->sink = &usedSink;
    std::string line = "run";
    for (const auto& query : batch.queries)
        line += " {" + describe(query) + "}";
    this->upstream.events.push_back(line + (batch.withPosition ? " position" : ""));
    this->loop.post([this, batch, number = ++this->runs] {
        if (number == this->runs)
            this->answer(batch);
    });
}

void FakeLink::answer(const upstream::Batch& batch)
{
    for (std::size_t i = 0; i < batch.queries.size(); ++i) {
        if (!this->answerQuery(i, batch.queries[i]))
            return;
    }
    upstream::BatchEnd end { .sent = true, .transaction = this->transaction };
    if (batch.withPosition)
        end.status = group::UpstreamStatus { .role = this->upstream.role, .term = this->upstream.point.term, .last = this->upstream.point };
    this->end(end);
}

bool FakeLink::answerQuery(std::size_t index, const upstream::Query& query)
{
    if (query.kind == upstream::QueryKind::Prepare) {
        this->prepared = query.text;
        const auto reply = this->upstream.replyTo("prepare " + query.text);
        if (reply.front().starts_with("E "))
            return this->answerPart(index, reply.front());
        this->sink->onCompleted(index, "");
        return true;
    }
    if (query.kind == upstream::QueryKind::DescribePrepared) {
        for (const auto& part : this->upstream.replyTo("describe " + this->prepared)) {
            if (part != "C OK" && !this->answerPart(index, part))
                return false;
        }
        this->sink->onCompleted(index, "");
        return true;
    }
    const auto reply = this->upstream.replyTo(query.text);
    if (reply.front() == "late") {
        this->answerLate(reply);
        return false;
    }
    for (const auto& part : reply) {
        if (!this->answerPart(index, part))
            return false;
    }
    this->trackTransaction(query.text);
    return true;
}

// As a link does whose connection is not closed yet when its lease has been discarded.
void FakeLink::answerLate(const Reply& reply)
{
    constexpr auto delay = std::chrono::milliseconds(100);
    this->lateTimer = this->loop.after(delay, [this, reply, receiver = std::exchange(this->sink, nullptr)] {
        ++this->upstream.lateAnswers;
        this->sink = receiver;
        for (auto part = reply.begin() + 1; part != reply.end(); ++part)
            static_cast<void>(this->answerPart(0, *part));
        this->end({ .sent = true });
    });
}

bool FakeLink::answerPart(std::size_t index, const std::string& part)
{
    const auto kind = part.substr(0, part.find(' '));
    const auto rest = part.size() > kind.size() ? part.substr(kind.size() + 1) : std::string();
    if (kind == "silent")
        return false;
    if (kind == "lost" || kind == "unsent") {
        this->transaction = pgwire::TransactionStatus::Idle;
        this->end({ .lost = true, .sent = kind == "lost" });
        return false;
    }
    if (kind == "E") {
        if (this->transaction != pgwire::TransactionStatus::Idle)
            this->transaction = pgwire::TransactionStatus::Failed;
        this->sink->onError(index, pgwire::makeError("ERROR", rest.substr(0, 5), rest.substr(6)));
        this->end({ .sent = true, .transaction = this->transaction });
        return false;
    }
    if (kind == "T") {
        std::vector<pgwire::Column> columns;
        for (auto& name : splitComma(rest))
            columns.push_back({ .name = std::move(name) });
        this->sink->onColumns(index, columns);
    } else if (kind == "t") {
        this->sink->onParameterTypes(index, std::vector<std::uint32_t> { 25 });
    } else if (kind == "N") {
        this->sink->onNotice(pgwire::makeError("NOTICE", rest.substr(0, 5), rest.substr(6)));
    } else if (kind == "D") {
        const auto texts = splitComma(rest);
        std::vector<pgwire::Value> values(texts.begin(), texts.end());
        this->sink->onRow(index, values);
    } else if (kind == "C") {
        this->sink->onCompleted(index, rest);
        if (rest.starts_with("INSERT"))
            ++this->upstream.point.position;
    }
    return true;
}

void FakeLink::trackTransaction(const std::string& text)
{
    if (text.starts_with("BEGIN") || text.starts_with("begin"))
        this->transaction = pgwire::TransactionStatus::Active;
    const bool isEnd = text.starts_with("COMMIT") || text.starts_with("commit") || text.starts_with("ROLLBACK") || text.starts_with("rollback");
    if (isEnd)
        this->transaction = pgwire::TransactionStatus::Idle;
}

void FakeLink::end(const upstream::BatchEnd& end)
{
    if (auto* receiver = std::exchange(this->sink, nullptr))
        receiver->onEnd(end);
}

void FakeLink::runCopy(const std::string& text, upstream::ResultSink& usedSink)
{
    this->sink = &usedSink;
    this->copied = 0;
    this->upstream.events.push_back("copy {" + text + "}");
    this->loop.post([this, text, number = ++this->runs] {
        if (number != this->runs)
            return;
        const std::vector<std::int16_t> formats { 0 };
        if (text.find("stdin") != std::string::npos) {
            this->sink->onCopyIn(0, formats, 0);
            return;
        }
        this->sink->onCopyOut(0, formats, 0);
        this->sink->onCopyData(0, "1\n");
        this->sink->onCompleted(0, "COPY 1");
        this->end({ .sent = true });
    });
}

bool FakeLink::sendCopyData(std::string_view)
{
    ++this->copied;
    return true;
}

void FakeLink::endCopy(const std::optional<std::string>& error)
{
    this->loop.post([this, error] {
        if (error)
            this->sink->onError(0, pgwire::makeError("ERROR", "57014", *error));
        else
            this->sink->onCompleted(0, "COPY " + std::to_string(this->copied));
        ++this->upstream.point.position;
        this->end({ .sent = true, .status = group::UpstreamStatus { .role = this->upstream.role, .term = this->upstream.point.term, .last = this->upstream.point } });
    });
}

void FakeLink::cancel()
{
    this->upstream.events.emplace_back("cancel");
    if (!this->sink)
        return;
    this->loop.post([this, number = this->runs] {
        if (number == this->runs && this->sink)
            static_cast<void>(this->answerPart(0, "E 57014 canceling statement due to user request"));
    });
}

FakeDispatcher::FakeDispatcher(kernel::Loop& usedLoop, FakeUpstream& usedUpstream, std::size_t count)
    : loop(usedLoop)
    , upstream(usedUpstream)
{
    for (std::size_t i = 0; i < count; ++i) {
        this->links.push_back(std::make_unique<FakeLink>(this->loop, this->upstream));
        this->idle.push_back(this->links.back().get());
    }
}

std::unique_ptr<upstream::Ticket> FakeDispatcher::request(const upstream::WorkRequest& work, Grant grant)
{
    struct WithdrawingTicket final : upstream::Ticket {
        explicit WithdrawingTicket(std::shared_ptr<Waiting> listed)
            : waiting(std::move(listed))
        {
        }
        ~WithdrawingTicket() override { this->waiting->grant = nullptr; }
        std::shared_ptr<Waiting> waiting;
    };
    std::string line = work.need == upstream::Need::Primary ? "request primary" : "request read";
    line += work.atLeast ? " at least " + formatPoint(*work.atLeast) : "";
    line += work.barrier ? " barrier" : "";
    line += work.maxStale.count() > 0 ? " stale " + std::to_string(work.maxStale.count()) + "ms" : "";
    this->upstream.events.push_back(line);
    auto waiting = std::make_shared<Waiting>(Waiting { work, std::move(grant) });
    this->queue.push_back(waiting);
    this->loop.post([this] { this->serve(); });
    return std::make_unique<WithdrawingTicket>(std::move(waiting));
}

void FakeDispatcher::serve()
{
    while (!this->queue.empty() && (!this->idle.empty() || !this->refusals.empty())) {
        const auto waiting = this->queue.front();
        this->queue.pop_front();
        const auto grant = std::exchange(waiting->grant, nullptr);
        if (!grant)
            continue;
        if (!this->refusals.empty()) {
            auto refusal = std::move(this->refusals.front());
            this->refusals.pop_front();
            grant(tl::unexpected(std::move(refusal)));
            continue;
        }
        auto* link = this->idle.front();
        this->idle.pop_front();
        auto giveBack = [this, link](bool reusable) {
            this->upstream.events.emplace_back(reusable ? "return" : "discard");
            link->reset();
            this->idle.push_back(link);
            this->loop.post([this] { this->serve(); });
        };
        upstream::Assignment assignment { .lease = upstream::LinkLease(*link, std::move(giveBack)), .upstream = { .group = waiting->work.group, .name = "a" }, .term = this->upstream.point.term, .primary = true };
        grant(std::move(assignment));
    }
}

void FakeConfirmer::confirm(const group::UpstreamId&, group::LogPoint point, Time, std::function<void(upstream::Confirmation)> done)
{
    this->upstream.events.push_back("confirm " + formatPoint(point));
    this->loop.post([answer = this->result, done = std::move(done)] { done(answer); });
}

void FakeConfirmer::confirmTerm(const group::UpstreamId&, group::Term term, Time, std::function<void(upstream::Confirmation)> done)
{
    this->upstream.events.push_back("confirm term " + std::to_string(term));
    this->loop.post([answer = this->result, done = std::move(done)] { done(answer); });
}

}
