#include "amaranthhall/bench/closed_loop.hpp"

#include "amaranthhall/upstream/pq_link.hpp"
#include "amaranthhall/upstream/quiet_sink.hpp"

#include <memory>
#include <stdexcept>

namespace amaranthhall::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr auto connectTimeout = 5s;

    /// One caller of the loop.
    class Looper final : private upstream::internal::QuietSink {
    public:
        Looper(kernel::Loop& usedLoop, const kernel::Address& target, const std::string& database, const std::string& statement, ClosedLoopResult& usedResult)
            : loop(usedLoop)
            , link(usedLoop, { .address = target, .database = database, .user = "bench", .tlsMode = "disable", .connectTimeout = connectTimeout })
            , result(usedResult)
        {
            this->batch.queries.push_back({ .text = statement });
            this->link.open([this](const auto& error) {
                if (error.fields.empty())
                    this->send();
                else
                    ++this->result.failed; }, [this] { ++this->result.failed; });
        }

        void startCounting() { this->isCounting = true; }

    private:
        void send()
        {
            this->hasFailed = false;
            this->sentAt = this->loop.now();
            this->link.run(this->batch, *this);
        }

        void onError(std::size_t, const pgwire::ErrorFields&) override { this->hasFailed = true; }

        void onEnd(const upstream::BatchEnd& end) override
        {
            if (this->isCounting) {
                this->result.latency.add(this->loop.now() - this->sentAt);
                ++(this->hasFailed || end.lost ? this->result.failed : this->result.answered);
            }
            if (!end.lost)
                this->send();
        }

        kernel::Loop& loop;
        upstream::PqLink link;
        ClosedLoopResult& result;
        upstream::Batch batch;
        Time sentAt;
        bool isCounting { false };
        bool hasFailed { false };
    };

}

ClosedLoopResult runClosedLoop(const ClosedLoopOptions& options, const std::function<void()>& atStart)
{
    kernel::Loop loop;
    ClosedLoopResult result;
    std::vector<std::unique_ptr<Looper>> callers;
    for (std::size_t i = 0; i < options.callers; ++i)
        callers.push_back(std::make_unique<Looper>(loop, options.targets[i % options.targets.size()], options.databases[i % options.databases.size()], options.statement, result));
    const auto begin = loop.after(options.warmUp, [&] {
        atStart();
        for (const auto& caller : callers)
            caller->startCounting();
    });
    const auto end = loop.after(options.warmUp + options.length, [&] { loop.stop(); });
    loop.run();
    result.seconds = options.length;
    if (result.answered == 0)
        throw std::runtime_error("no statement was answered");
    return result;
}

}
