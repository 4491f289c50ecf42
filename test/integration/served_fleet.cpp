#include "served_fleet.hpp"

#include "amaranthhall/catalog/configuration.hpp"
#include "amaranthhall/catalog/upstream_entry.hpp"
#include "amaranthhall/relay/homes.hpp"
#include "gateway_fleet.hpp"
#include "platform/platform_row_reader.hpp"
#include "platform/standin/fleet_rows.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <sys/resource.h>
#include <unistd.h>

namespace amaranthhall::integration {

namespace {

    using namespace std::chrono_literals;

    constexpr int portBase = 41'000;
    constexpr int portSpan = 18'000;
    constexpr int portsOfAFleet = 10;
    constexpr std::uint32_t connections = 12; // for two homes among three daemons
    constexpr std::string_view service = "svc";
    constexpr Duration longestRequest = 3s;
    constexpr Duration longestAnswer = 40s; // ends a failing test; a passing one does not wait
    constexpr Duration retryPause = 100ms;
    constexpr Duration settleStep = 400ms;
    constexpr Duration longestSettling = 8s;
    constexpr Duration shortestSettling = 1s; // a crowd that does not read shows no progress while its replies are written

    std::string hostOf(std::size_t daemon)
    {
        return "127.0.3." + std::to_string(daemon + 1);
    }

    std::string vmOf(std::size_t daemon)
    {
        return "vm" + std::to_string(daemon);
    }

    /// Limits the descriptors of the processes that are started while it exists.
    class DescriptorLimit {
    public:
        explicit DescriptorLimit(rlim_t limit)
        {
            getrlimit(RLIMIT_NOFILE, &this->former);
            const rlimit lowered { .rlim_cur = limit, .rlim_max = this->former.rlim_max };
            setrlimit(RLIMIT_NOFILE, &lowered);
        }
        ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &this->former); }
        DescriptorLimit(const DescriptorLimit&) = delete;
        DescriptorLimit& operator=(const DescriptorLimit&) = delete;

    private:
        rlimit former {};
    };

}

ServedFleet::ServedFleet(const Options& usedOptions)
    : options(usedOptions)
    , folder((std::filesystem::temp_directory_path() / ("amaranthhall-served-" + options.name)).string())
    , group(this->loop, { .service = std::string(service), .work = options.work })
    , store(this->loop, [](const auto&, const auto&) { return true; })
{
    std::filesystem::create_directories(this->folder);
    this->group.changed = [this](std::size_t index) { this->registerUpstream(index); };
    for (std::size_t i = 0; i < this->group.size(); ++i)
        this->registerUpstream(i);
    this->writeConfiguration();
    for (std::size_t i = 0; i < options.daemons; ++i)
        this->startDaemon(i);
    for (std::size_t i = 0; i < options.daemons; ++i) {
        if (!this->answersOrdinaryRequest(i))
            throw std::runtime_error("a gateway answers no request; see " + this->folder);
    }
}

ServedFleet::~ServedFleet() = default;

void ServedFleet::registerUpstream(std::size_t index)
{
    const catalog::UpstreamEntry entry {
        .id = this->group.idOf(index),
        .service = std::string(service),
        .address = { .host = "127.0.0.1", .port = this->group.portOf(index) },
        .zone = "a",
        .role = this->group.isPrimary(index) ? catalog::Role::Primary : catalog::Role::Replica,
        .slots = 2,
        .startedAt = 1,
    };
    this->store.put(fleet::PlatformRowReader().upstreamTable(), entry.id, fleet::standin::encodeUpstream(entry, ++this->beats));
}

void ServedFleet::writeConfiguration()
{
    catalog::Configuration configuration { .version = 1 };
    catalog::Route route { .database = "db", .service = std::string(service), .statementTimeout = 5s, .targetLatency = 5s, .priority = 1 };
    route.consistency = catalog::Consistency::BoundedStaleness;
    route.maximumStaleness = 5s;
    configuration.routes[route.database] = route;
    configuration.services[std::string(service)] = { .name = std::string(service), .maximumConnections = connections };
    const fleet::PlatformRowReader rows;
    this->store.put(rows.configurationTable(), rows.configurationKey(), fleet::standin::encodeConfiguration(configuration));
}

kernel::Address ServedFleet::address(std::size_t daemon, Port port) const
{
    const auto base = portBase + (static_cast<int>(getpid()) * portsOfAFleet) % portSpan;
    return { .host = hostOf(daemon), .port = static_cast<std::uint16_t>(base + static_cast<int>(port)) };
}

void ServedFleet::startDaemon(std::size_t index)
{
    const auto endpoint = [this](std::size_t daemon, Port port) { return '"' + kernel::formatAddress(this->address(daemon, port)) + '"'; };
    const auto settings = this->folder + "/" + vmOf(index) + ".yaml";
    std::ofstream(settings) << "vm: { id: \"" << vmOf(index) << "\", zone: \"a\", memory: " << this->options.memory << ", descriptors: " << this->options.descriptors << " }\nlisten: { callers: " << endpoint(index, Port::Callers) << ", ready: " << endpoint(index, Port::Ready) << ", peers: " << endpoint(index, Port::Peers)
                            << ", relay: " << endpoint(index, Port::Relay) << ", metrics: " << endpoint(index, Port::Metrics) << " }\nseeds: [" << endpoint(0, Port::Peers) << "]\nplatform: { store: \"127.0.0.1:" << this->store.port()
                            << "\", orders: \"127.0.0.1:" << this->store.port() << "\" }\n";
    const DescriptorLimit limit(this->options.descriptors);
    this->processes.push_back(std::make_unique<rig::Process>(GatewayFleet::ownProgram(), std::vector<std::string> { "--settings", settings }, this->folder + "/" + vmOf(index) + ".log"));
}

std::size_t ServedFleet::relaying() const
{
    std::vector<relay::Daemon> daemons;
    for (std::size_t i = 0; i < this->processes.size(); ++i)
        daemons.push_back({ .vm = vmOf(i), .zone = "a" });
    const auto homes = relay::selectHomes(service, daemons, { .connections = connections });
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        if (std::find(homes.begin(), homes.end(), daemons[i].vm) == homes.end())
            return i;
    }
    return 0;
}

void ServedFleet::runFor(Duration span)
{
    const auto end = this->loop.after(span, [this] { this->loop.stop(); });
    this->loop.run();
}

void ServedFleet::settle(const std::vector<const ClientCrowd*>& crowds)
{
    const auto progress = [&crowds] {
        std::uint64_t total = 0;
        for (const auto* crowd : crowds)
            total += crowd->progress();
        return total;
    };
    const auto until = this->loop.now() + longestSettling;
    this->runFor(shortestSettling);
    auto before = progress();
    do {
        before = progress();
        this->runFor(settleStep);
    } while (progress() != before && this->loop.now() < until);
}

bool ServedFleet::answersOrdinaryRequest(std::size_t daemon)
{
    const auto until = this->loop.now() + longestAnswer;
    while (this->loop.now() < until && this->isRunning(daemon)) {
        OrdinarySession session(this->loop, this->address(daemon, Port::Callers));
        if (session.run("READ item", longestRequest))
            return true;
        this->runFor(retryPause);
    }
    return false;
}

bool ServedFleet::answersHttp(std::size_t daemon, Port port, std::string_view path)
{
    const auto until = this->loop.now() + longestAnswer;
    while (this->loop.now() < until && this->isRunning(daemon)) {
        std::string answer;
        kernel::ByteStream stream(this->loop, kernel::connectTo(this->address(daemon, port)), { .received = [&answer](auto bytes) { answer.append(bytes); }, .closed = [] {} });
        stream.write(std::string("GET ").append(path).append(" HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"));
        for (auto pause = Duration::zero(); pause < longestRequest && answer.find("200 OK") == std::string::npos; pause += retryPause)
            this->runFor(retryPause);
        if (answer.find("200 OK") != std::string::npos)
            return true;
    }
    return false;
}

void ServedFleet::restartUpstreams()
{
    for (std::size_t i = 0; i < this->group.size(); ++i)
        this->group.setRunning(i, false);
    for (std::size_t i = 0; i < this->group.size(); ++i)
        this->group.setRunning(i, true);
}

std::uint64_t ServedFleet::peakMemory(std::size_t daemon) const
{
    std::ifstream status("/proc/" + std::to_string(this->processes[daemon]->id()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:"))
            return std::stoull(line.substr(line.find_first_of("0123456789"))) << 10U;
    }
    return 0;
}

std::size_t ServedFleet::openDescriptors(std::size_t daemon) const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(this->processes[daemon]->id()) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

}
