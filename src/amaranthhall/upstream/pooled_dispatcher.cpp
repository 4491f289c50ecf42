#include "amaranthhall/upstream/pooled_dispatcher.hpp"

#include <algorithm>
#include <stdexcept>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr auto connectTimeout = 1s;
    constexpr auto tickInterval = 5ms;
    constexpr auto retryAfterCutOff = 1s;

    /// Withdraws the work when the caller no longer wants it.
    class WorkTicket final : public Ticket {
    public:
        explicit WorkTicket(GroupDispatcher::Work held)
            : work(std::move(held))
        {
        }
        ~WorkTicket() override { this->work->grant = nullptr; }
        WorkTicket(const WorkTicket&) = delete;
        WorkTicket& operator=(const WorkTicket&) = delete;

    private:
        GroupDispatcher::Work work;
    };

    share::ShareSource* findShares(const kernel::Registry& registry)
    {
        try {
            return &registry.find<share::ShareSource>("shares");
        } catch (const std::logic_error&) {
            return nullptr; // a daemon without peers uses the table's limits
        }
    }

    void refuse(WaitingWork& work, Refusal refusal)
    {
        if (const auto grant = std::exchange(work.grant, nullptr))
            grant(tl::unexpected(std::move(refusal)));
    }

    Refusal cutOff()
    {
        return { .sqlstate = "57P03", .message = "not run: this daemon may not take work until it knows the table in force", .retryAfter = retryAfterCutOff };
    }

}

PooledDispatcher::PooledDispatcher(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, const kernel::Settings& usedSettings)
    : loop(usedLoop)
    , registry(usedRegistry)
    , settings(usedSettings)
    , random(std::random_device {}())
{
}

PooledDispatcher::~PooledDispatcher() = default;

void PooledDispatcher::start()
{
    this->metrics = std::make_unique<DispatchMetrics>(this->registry.find<telemetry::Metrics>("metrics"));
    this->table = &this->registry.find<table::TableSource>("table");
    this->groups = &this->registry.find<group::GroupSource>("groups");
    this->shares = findShares(this->registry);
    this->table->onChange([this] { this->takeTable(); });
    this->groups->onChange([this] { this->refreshLater(); });
    if (this->shares)
        this->shares->onChange([this] { this->refreshLater(); });
    this->takeTable();
}

void PooledDispatcher::refreshLater()
{
    // Views change within the calls of links and probes, and grants must not come from there.
    if (std::exchange(this->isRefreshPosted, true))
        return;
    this->loop.post([this] {
        this->isRefreshPosted = false;
        for (const auto& [id, dispatcher] : this->dispatchers)
            dispatcher->refresh();
    });
}

void PooledDispatcher::takeTable()
{
    const auto& image = this->table->image();
    const auto ids = table::listGroups(image);
    std::erase_if(this->dispatchers, [&](const auto& entry) {
        const bool isGone = !std::binary_search(ids.begin(), ids.end(), entry.first) || !table::findService(image, entry.first.service);
        if (isGone)
            entry.second->refuseAll({ .sqlstate = "3D000", .message = "not run: " + group::formatId(entry.first) + " has been removed" });
        return isGone;
    });
    for (const auto& [name, queue] : this->services)
        queue->groups = 0;
    for (const auto& id : ids) {
        const auto* service = table::findService(image, id.service);
        if (!service)
            continue;
        auto& queue = this->services[id.service];
        if (!queue)
            queue = std::make_shared<ServiceQueue>(ServiceQueue { .groups = 0 });
        queue->limit = service->queueLimit;
        ++queue->groups;
        auto& dispatcher = this->dispatchers[id];
        if (!dispatcher)
            dispatcher = std::make_unique<GroupDispatcher>(DispatchEnvironment { .loop = this->loop, .random = this->random, .groups = *this->groups, .runner = *this, .metrics = *this->metrics, .shares = this->shares, .zone = this->settings.vm.zone }, id, queue);
        const auto& credentials = this->settings.upstreams;
        dispatcher->configure(image,
            { .database = service->database, .user = credentials.user, .password = credentials.password, .tlsMode = credentials.tlsMode, .tlsRootCertificate = credentials.tlsRootCertificate, .connectTimeout = connectTimeout, .applicationName = "amaranthhall/" + this->settings.vm.id });
        if (!this->table->mayTakeWork(id.service))
            dispatcher->refuseAll(cutOff());
    }
}

std::unique_ptr<Ticket> PooledDispatcher::request(const WorkRequest& request, Grant grant)
{
    const auto work = std::make_shared<WaitingWork>(WaitingWork { .work = request, .grant = std::move(grant), .arrivedAt = this->loop.now() });
    this->arrivals.push_back(work);
    if (this->arrivals.size() == 1)
        this->loop.post([this] { this->takeArrivals(); });
    return std::make_unique<WorkTicket>(work);
}

void PooledDispatcher::takeArrivals()
{
    const auto taken = std::exchange(this->arrivals, {});
    for (const auto& work : taken) {
        if (work->grant)
            this->route(work);
    }
    this->watchDeadlines();
}

void PooledDispatcher::route(const Work& work)
{
    const auto found = this->dispatchers.find(work->work.group);
    if (found == this->dispatchers.end()) {
        refuse(*work, { .sqlstate = "3D000", .message = "not run: " + group::formatId(work->work.group) + " does not exist" });
        return;
    }
    if (!this->table->mayTakeWork(work->work.group.service)) {
        refuse(*work, cutOff());
        return;
    }
    found->second->add(work);
}

void PooledDispatcher::watchDeadlines()
{
    const bool isWaiting = std::any_of(this->dispatchers.begin(), this->dispatchers.end(), [](const auto& entry) { return entry.second->isWaiting(); });
    if (!isWaiting)
        this->timer.reset();
    else if (!this->timer)
        this->timer = this->loop.every(tickInterval, [this] { this->tick(); });
}

void PooledDispatcher::tick()
{
    for (const auto& [id, dispatcher] : this->dispatchers) {
        if (dispatcher->isWaiting())
            dispatcher->tick();
    }
    this->watchDeadlines();
}

void PooledDispatcher::runControl(const group::UpstreamId& id, const std::string& query, Time deadline, ControlRunner::Done done)
{
    const auto found = this->dispatchers.find(id.group);
    if (found == this->dispatchers.end())
        this->loop.post([done = std::move(done)] { done(std::nullopt); });
    else
        found->second->runControl(id.name, query, deadline, std::move(done));
}

}
