#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/upstream/dispatcher.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::session::fakes {

/// @brief What a fake upstream says to a statement: parts such as `T a,b`, `D 1,2`, `C SELECT 1`, `E 42601 text`, `lost`, `unsent` or `silent`.
using Reply = std::vector<std::string>;

/// @brief State that all fake links of a test share.
struct FakeUpstream {
    std::map<std::string, std::deque<Reply>, std::less<>> replies; ///< By the beginning of the text; the last reply stays.
    unsigned lateAnswers { 0 }; ///< Answers whose reply begins with `late`, which come 100 ms on and after a cancel or reset.
    bool echoes { false }; ///< Answers each statement by a row that holds its text.
    std::vector<std::string> events; ///< What the session did, in order.
    group::LogPoint point { .term = 1, .position = 1 };
    group::Role role { group::Role::Primary };

    /// @brief Finds the reply of the longest matching text.
    [[nodiscard]] Reply replyTo(std::string_view text);
};

/// @brief A link whose answers come from FakeUpstream, each batch on a later turn of the loop.
class FakeLink final : public upstream::Link {
public:
    FakeLink(kernel::Loop& loop, FakeUpstream& upstream);

    void run(const upstream::Batch& batch, upstream::ResultSink& sink) override;
    void runCopy(const std::string& text, upstream::ResultSink& sink) override;
    bool sendCopyData(std::string_view data) override;
    void endCopy(const std::optional<std::string>& error) override;
    void pauseReading() override { this->upstream.events.emplace_back("pause"); }
    void resumeReading() override { this->upstream.events.emplace_back("resume"); }
    void cancel() override;
    [[nodiscard]] std::string_view parameterStatus(const std::string&) const override { return {}; }

    /// @brief Forgets the transaction and the running batch, as a reset or closed connection does.
    void reset();

private:
    void answer(const upstream::Batch& batch);
    void answerLate(const Reply& reply);
    [[nodiscard]] bool answerQuery(std::size_t index, const upstream::Query& query);
    [[nodiscard]] bool answerPart(std::size_t index, const std::string& part);
    void trackTransaction(const std::string& text);
    void end(const upstream::BatchEnd& end);

    kernel::Loop& loop;
    FakeUpstream& upstream;
    upstream::ResultSink* sink { nullptr };
    pgwire::TransactionStatus transaction { pgwire::TransactionStatus::Idle };
    std::string prepared;
    unsigned runs { 0 };
    std::size_t copied { 0 };
    kernel::Registration lateTimer;
};

/// @brief Lends a bounded number of fake links.
class FakeDispatcher final : public kernel::Service, public upstream::Dispatcher {
public:
    FakeDispatcher(kernel::Loop& loop, FakeUpstream& upstream, std::size_t links);

    [[nodiscard]] std::string_view name() const noexcept override { return "dispatch"; }
    [[nodiscard]] std::unique_ptr<upstream::Ticket> request(const upstream::WorkRequest& work, Grant grant) override;

    /// @brief Refuses the next request.
    void refuseNext(upstream::Refusal refusal) { this->refusals.push_back(std::move(refusal)); }

private:
    struct Waiting {
        upstream::WorkRequest work;
        Grant grant;
    };

    void serve();

    kernel::Loop& loop;
    FakeUpstream& upstream;
    std::deque<upstream::Refusal> refusals;
    std::list<std::shared_ptr<Waiting>> queue;
    std::vector<std::unique_ptr<FakeLink>> links;
    std::deque<FakeLink*> idle;
};

/// @brief Confirms as the test says.
class FakeConfirmer final : public kernel::Service, public upstream::Confirmer {
public:
    FakeConfirmer(kernel::Loop& usedLoop, FakeUpstream& usedUpstream)
        : loop(usedLoop)
        , upstream(usedUpstream)
    {
    }

    [[nodiscard]] std::string_view name() const noexcept override { return "confirm"; }
    void confirm(const group::UpstreamId& writer, group::LogPoint point, Time deadline, std::function<void(upstream::Confirmation)> done) override;
    void confirmTerm(const group::UpstreamId& writer, group::Term term, Time deadline, std::function<void(upstream::Confirmation)> done) override;

    upstream::Confirmation result { upstream::Confirmation::Confirmed };

private:
    kernel::Loop& loop;
    FakeUpstream& upstream;
};

}
