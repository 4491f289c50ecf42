#pragma once

// A service: three backends that speak the wire protocol, replicate, and are promoted, as PROTOCOL.md tells it.

#include "record.hpp"
#include "store.hpp"

#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <set>

namespace review {

struct Point {
    std::uint64_t term { 0 };
    std::uint64_t number { 0 };

    friend auto operator<=>(const Point&, const Point&) = default;
    [[nodiscard]] std::string text() const { return std::to_string(this->term) + "." + std::to_string(this->number); }
};

struct Commit {
    Point point;
    std::vector<std::pair<std::string, std::string>> writes; ///< Item and data; all data are distinct.
    int receivers { 0 }; ///< Replicas that have received it.
    bool isDropped { false }; ///< A promotion dropped it.
};

using CommitPointer = std::shared_ptr<Commit>;

/// A duration that is drawn from a lognormal distribution, in ms.
struct Spread {
    double mean { 1 };
    double spread { 0 }; ///< Of the logarithm.
    double maximum { 1e9 };
};

struct ServiceOptions {
    std::string name;
    std::string host; ///< Loopback address of its backends.
    int syncReplicas { 0 };
    int slots { 2 };
    int queue { 16 };
    Spread work { .mean = 3, .spread = 0.7, .maximum = 22 };
    Spread lag { .mean = 8, .spread = 0.6, .maximum = 48 }; ///< Until a replica has received a commit.
    Milliseconds handshake { 12 };
    Milliseconds promotion { 1000 };
    Milliseconds heartbeat { 1200 };
};

/// One backend.
struct Backend {
    std::string id;
    std::string zone;
    std::uint64_t born { 0 };
    std::uint64_t generation { 0 }; ///< Counts the backends that have run here.
    Endpoint address;
    std::shared_ptr<Socket> listener;
    std::vector<CommitPointer> log; ///< What it has received; visible to reads.
    std::deque<std::pair<Time, CommitPointer>> inbox; ///< On the way to it.
    std::uint64_t sequence { 0 };
    bool isDraining { false };
    bool isDark { false }; ///< It takes connections and answers nothing.
    bool isRegistered { true };
    int busy { 0 }; ///< Slots in use.
    int queued { 0 };
    std::set<std::shared_ptr<Socket>> connections;
};

class Service {
public:
    Service(Record& usedRecord, Store& usedStore, ServiceOptions usedOptions)
        : record(usedRecord)
        , store(usedStore)
        , options(std::move(usedOptions))
        , random(std::random_device {}())
    {
        const auto first = std::make_shared<Commit>(Commit { .point = { .term = 1, .number = 1 }, .writes = {} });
        const std::lock_guard guard(this->mutex);
        for (int i = 0; i < 3; ++i) {
            auto& backend = this->backends[i];
            backend.zone = std::string(1, static_cast<char>('a' + i));
            backend.address.host = this->options.host;
            backend.log.push_back(first);
            this->open(backend);
        }
        std::thread([this] { this->replicate(); }).detach();
        std::thread([this] { this->beat(); }).detach();
    }

    /// Takes an order to promote a backend; returns the status of the answer.
    int order(const std::string& id)
    {
        const std::lock_guard guard(this->mutex);
        for (std::size_t i = 0; i < std::size(this->backends); ++i) {
            if (this->backends[i].id != id || this->backends[i].isDark)
                continue;
            if (i != this->leader) {
                std::thread([this, i, id] {
                    std::this_thread::sleep_for(this->options.promotion);
                    this->takeOver(i, id);
                }).detach();
            }
            return 200;
        }
        return 409;
    }

    /// Planned work: the primary reports that it is draining, serves on for some time, and leaves; a new backend starts at its address.
    void releasePrimary(Milliseconds drain)
    {
        const std::lock_guard guard(this->mutex);
        const auto index = this->leader;
        auto& backend = this->backends[index];
        backend.isDraining = true;
        this->enter(backend);
        this->record.say(this->options.name + ": the primary " + backend.id + " reports that it is draining");
        std::thread([this, index, drain] {
            std::this_thread::sleep_for(drain);
            this->replace(index);
        }).detach();
    }

    /// A replica goes dark; its entry is removed after three heartbeats.
    void darkenReplica()
    {
        const std::lock_guard guard(this->mutex);
        const auto index = (this->leader + 1) % std::size(this->backends);
        auto& backend = this->backends[index];
        backend.isDark = true;
        backend.isRegistered = false;
        this->record.say(this->options.name + ": the replica " + backend.id + " is dark");
        std::thread([this, id = backend.id] {
            std::this_thread::sleep_for(3 * this->options.heartbeat);
            this->record.write(this->options.name + ": the entry of " + id + " is removed");
            this->store.remove("servers", id);
        }).detach();
    }

    /// Replaces each dark backend by a new one.
    void replaceDark()
    {
        for (std::size_t i = 0; i < std::size(this->backends); ++i) {
            std::unique_lock lock(this->mutex);
            if (!this->backends[i].isDark)
                continue;
            lock.unlock();
            this->replace(i);
        }
    }

    /// Records that a caller was told of the success of a write.
    void noteAcknowledged(const std::string& data)
    {
        const std::lock_guard guard(this->mutex);
        this->acknowledged.insert(data);
    }

    /// Returns all commits, those that were dropped among them.
    [[nodiscard]] std::vector<CommitPointer> commits()
    {
        const std::lock_guard guard(this->mutex);
        return this->history;
    }

    /// Returns whether a request has reached a backend.
    [[nodiscard]] bool hasArrived(const std::string& id)
    {
        const std::lock_guard guard(this->mutex);
        return this->arrived.contains(id);
    }

    [[nodiscard]] std::size_t takeOvers()
    {
        const std::lock_guard guard(this->mutex);
        return this->takeOverCount;
    }

    [[nodiscard]] std::size_t acknowledgedCount()
    {
        const std::lock_guard guard(this->mutex);
        return this->acknowledged.size();
    }

    [[nodiscard]] const std::string& name() const { return this->options.name; }
    [[nodiscard]] int syncReplicas() const { return this->options.syncReplicas; }

private:
    struct Session {
        std::map<std::string, bool> statements; ///< Whether each prepared statement writes.
        std::vector<std::pair<std::string, std::string>> pending;
        bool inTransaction { false };
        bool isReadOnly { false };
        bool isFailed { false };
    };

    struct Answer {
        std::vector<std::string> rows;
        std::string code; ///< Empty for success.
        std::string digest { "-" };
        bool isLost { false }; ///< The connection ends without an answer.
    };

    Milliseconds draw(const Spread& spread)
    {
        std::lognormal_distribution<double> distribution(std::log(spread.mean) - spread.spread * spread.spread / 2, spread.spread);
        const auto value = std::min(spread.maximum, distribution(this->random));
        return Milliseconds(static_cast<long>(value + 0.5));
    }

    /// Starts a new backend; the mutex is held.
    void open(Backend& backend)
    {
        backend.id = "i-" + this->options.name + "-" + std::to_string(++this->lastId);
        backend.born = static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
        ++backend.generation;
        backend.isDraining = backend.isDark = false;
        backend.isRegistered = true;
        backend.sequence = 0;
        backend.listener = std::make_shared<Socket>(listenOn(backend.address));
        this->enter(backend);
        std::thread([this, &backend, listener = backend.listener] {
            while (true) {
                auto socket = acceptFrom(*listener);
                if (!socket)
                    return;
                std::thread([this, &backend, connection = std::make_shared<Socket>(std::move(socket))] { this->serve(backend, connection); }).detach();
            }
        }).detach();
    }

    /// Writes the entry of a backend; the mutex is held.
    void enter(Backend& backend)
    {
        const nlohmann::json entry { { "service", this->options.name }, { "address", backend.address.text() }, { "zone", backend.zone }, { "version", "v1" }, { "slots", this->options.slots }, { "state", backend.isDraining ? "draining" : "ready" }, { "cold_remaining_ms", 0 }, { "db_role", &backend == &this->backends[this->leader] ? "primary" : "replica" }, { "seq", ++backend.sequence }, { "born", backend.born } };
        this->store.put("servers", backend.id, entry.dump());
    }

    void beat()
    {
        while (true) {
            std::this_thread::sleep_for(this->options.heartbeat);
            const std::lock_guard guard(this->mutex);
            for (auto& backend : this->backends) {
                if (backend.isRegistered)
                    this->enter(backend);
            }
        }
    }

    void replace(std::size_t index)
    {
        const std::lock_guard guard(this->mutex);
        auto& backend = this->backends[index];
        if (backend.isRegistered)
            this->store.remove("servers", backend.id);
        const auto old = backend.id;
        backend.listener->shutdown();
        for (const auto& connection : backend.connections)
            connection->shutdown();
        backend.connections.clear();
        backend.inbox.clear();
        if (index != this->leader)
            backend.log = this->backends[this->leader].log;
        backend.address.port = 0;
        this->open(backend);
        this->record.say(this->options.name + ": " + old + " has left, " + backend.id + " has started");
    }

    void replicate()
    {
        while (true) {
            std::this_thread::sleep_for(std::chrono::microseconds(300));
            const std::lock_guard guard(this->mutex);
            const auto now = Clock::now();
            for (auto& backend : this->backends) {
                while (!backend.inbox.empty() && backend.inbox.front().first <= now) {
                    const auto commit = backend.inbox.front().second;
                    backend.inbox.pop_front();
                    backend.log.push_back(commit);
                    ++commit->receivers;
                    this->changed.notify_all();
                }
            }
        }
    }

    void takeOver(std::size_t index, const std::string& id)
    {
        const std::lock_guard guard(this->mutex);
        auto& heir = this->backends[index];
        if (heir.id != id || heir.isDark || index == this->leader)
            return;
        ++this->term;
        ++this->takeOverCount;
        const std::set<CommitPointer> kept(heir.log.begin(), heir.log.end());
        std::size_t lost = 0;
        std::string example;
        for (const auto& commit : this->history) {
            if (commit->isDropped || kept.contains(commit))
                continue;
            commit->isDropped = true;
            for (const auto& [item, data] : commit->writes) {
                if (this->acknowledged.contains(data)) {
                    ++lost;
                    example = data + " at " + commit->point.text();
                    this->record.write(this->options.name + ": acknowledged and not in the log of " + heir.id + ": " + example);
                }
            }
        }
        const auto old = std::exchange(this->leader, index);
        for (auto& backend : this->backends) {
            backend.inbox.clear();
            if (!backend.isDark)
                backend.log = heir.log;
        }
        this->enter(heir);
        if (this->backends[old].isRegistered)
            this->enter(this->backends[old]);
        this->changed.notify_all();
        this->record.say(this->options.name + ": " + heir.id + " leads term " + std::to_string(this->term) + " with " + heir.log.back()->point.text());
        if (lost > 0 && this->options.syncReplicas > 0)
            this->record.violation("LOST " + this->options.name + ": " + std::to_string(lost) + " acknowledged commits are not in the log of the promoted backend, the last one " + example);
    }

    void serve(Backend& backend, const std::shared_ptr<Socket>& connection)
    {
        std::unique_lock lock(this->mutex);
        backend.connections.insert(connection);
        const auto generation = backend.generation;
        lock.unlock();
        Reader reader(*connection);
        const auto startup = reader.line();
        const bool isAccepted = startup && this->waitWhileDark(backend, generation);
        if (isAccepted) {
            std::this_thread::sleep_for(this->options.handshake);
            lock.lock();
            const bool isMine = startup->starts_with("STARTUP " + this->options.name + " ") && startup->ends_with(" " + backend.id);
            const auto answer = isMine ? "READY I " + backend.log.back()->point.text() + "\r\n" : "ERROR MISROUTED " + backend.id + "\r\n";
            lock.unlock();
            Session session;
            bool isOpen = sendAll(*connection, answer) && isMine;
            while (isOpen) {
                const auto line = reader.line();
                isOpen = line && line->starts_with("QUERY ") && this->waitWhileDark(backend, generation) && this->handle(backend, session, *connection, line->substr(6));
            }
        }
        lock.lock();
        backend.connections.erase(connection);
    }

    /// Waits until a backend is not dark; false if it has been replaced.
    bool waitWhileDark(const Backend& backend, std::uint64_t generation)
    {
        while (true) {
            {
                const std::lock_guard guard(this->mutex);
                if (backend.generation != generation)
                    return false;
                if (!backend.isDark)
                    return true;
            }
            std::this_thread::sleep_for(Milliseconds(5));
        }
    }

    bool handle(Backend& backend, Session& session, const Socket& connection, const std::string& message)
    {
        const auto blank = message.find(' ');
        const auto id = message.substr(0, blank);
        auto text = message.substr(blank + 1);
        std::unique_lock lock(this->mutex);
        if (id != "-")
            this->arrived.insert(id);
        auto answer = this->run(lock, backend, session, id, text);
        if (answer.isLost)
            return false;
        std::string out;
        for (const auto& row : answer.rows)
            out += "DATAROW " + row + "\r\n";
        out += answer.code.empty() ? "COMPLETE " + answer.digest + "\r\n" : "ERROR " + answer.code + " " + backend.id + "\r\n";
        out += std::string("READY ") + (session.isFailed ? "E" : session.inTransaction ? "T"
                                                                                       : "I")
            + " " + backend.log.back()->point.text() + "\r\n";
        const auto generation = backend.generation;
        lock.unlock();
        if (!this->waitWhileDark(backend, generation))
            return false;
        return sendAll(connection, out);
    }

    /// Takes a slot and works; false if the backend is busy.
    bool work(std::unique_lock<std::mutex>& lock, Backend& backend, const Spread& duration)
    {
        if (backend.busy >= this->options.slots) {
            if (backend.queued >= this->options.queue)
                return false;
            ++backend.queued;
            this->changed.wait(lock, [&] { return backend.busy < this->options.slots; });
            --backend.queued;
        }
        ++backend.busy;
        const auto length = this->draw(duration);
        lock.unlock();
        std::this_thread::sleep_for(length);
        lock.lock();
        --backend.busy;
        this->changed.notify_all();
        return true;
    }

    static std::string takeWord(std::string& text)
    {
        const auto blank = text.find(' ');
        const auto word = text.substr(0, blank);
        text = blank == std::string::npos ? std::string() : text.substr(blank + 1);
        return word;
    }

    Answer run(std::unique_lock<std::mutex>& lock, Backend& backend, Session& session, const std::string& id, std::string text)
    {
        if (text.starts_with("AFTER ")) {
            takeWord(text);
            const auto wanted = takeWord(text);
            const auto dot = wanted.find('.');
            const Point point { .term = std::stoull(wanted.substr(0, dot)), .number = std::stoull(wanted.substr(dot + 1)) };
            if (backend.log.back()->point < point)
                return { .code = "LAGGING" };
        }
        if (text == "STATUS") {
            if (!this->work(lock, backend, { .mean = 1 }))
                return { .code = "BUSY" };
            const bool leads = &backend == &this->backends[this->leader];
            const auto point = backend.log.back()->point;
            return { .rows = { std::string(leads ? "primary " : "replica ") + std::to_string(this->term) + " " + point.text() + " " + std::to_string(this->term) + " 0 " + std::to_string(backend.busy) + " " + std::to_string(backend.connections.size()) } };
        }
        auto rest = text;
        const auto word = takeWord(rest);
        if (word == "RESET") {
            session.statements.clear();
            return {};
        }
        if (word == "SET" || word == "DEALLOC")
            return {};
        if (word == "PREPARE") {
            const auto name = takeWord(rest);
            const auto mode = takeWord(rest);
            if ((mode != "READ" && mode != "WRITE") || rest.empty())
                return { .code = "MALFORMED" };
            this->record.write(backend.id + " prepares " + name + " " + mode + " \"" + rest + "\"");
            session.statements[name] = mode == "WRITE";
            return {};
        }
        if (word == "ROLLBACK") {
            session = Session { .statements = session.statements, .pending = {} };
            return {};
        }
        if (session.isFailed)
            return { .code = "MALFORMED" };
        return this->runWork(lock, backend, session, id, word, rest);
    }

    Answer runWork(std::unique_lock<std::mutex>& lock, Backend& backend, Session& session, const std::string& id, const std::string& word, std::string rest)
    {
        bool writes = word == "WRITE";
        if (word == "EXECUTE") {
            const auto found = session.statements.find(takeWord(rest));
            if (found == session.statements.end())
                return { .code = "NOSTMT" };
            writes = found->second;
        }
        const bool isCommit = word == "COMMIT";
        const bool isPlainBegin = word == "BEGIN" && rest.empty();
        const bool isInPlain = session.inTransaction && !session.isReadOnly;
        const bool needsLead = writes || isPlainBegin || (isInPlain && !(isCommit && session.pending.empty()));
        const bool takesSlot = word != "BEGIN";
        if (takesSlot && !this->work(lock, backend, this->options.work))
            return { .code = "BUSY" };
        if (needsLead && &backend != &this->backends[this->leader]) {
            session.pending.clear();
            session.isFailed = session.inTransaction && !isCommit;
            session.inTransaction = session.inTransaction && !isCommit;
            return { .code = "READONLY" };
        }
        if (id != "-")
            this->record.write(backend.id + " runs " + id + " " + word + " " + rest.substr(0, 60));
        Answer answer;
        answer.digest = backend.id + "." + std::to_string(++this->lastDigest);
        if (word == "BEGIN") {
            session.inTransaction = true;
            session.isReadOnly = !isPlainBegin;
            return answer;
        }
        if (writes) {
            const auto item = takeWord(rest);
            session.pending.emplace_back(item, rest);
        } else if (!isCommit)
            answer.rows.push_back(find(backend, takeWord(rest)));
        if (isCommit)
            session.inTransaction = session.isReadOnly = false;
        if (!session.inTransaction && !session.pending.empty())
            answer.isLost = !this->commit(lock, backend, std::exchange(session.pending, {}));
        return answer;
    }

    static std::string find(const Backend& backend, const std::string& item)
    {
        for (auto commit = backend.log.rbegin(); commit != backend.log.rend(); ++commit) {
            for (auto write = (*commit)->writes.rbegin(); write != (*commit)->writes.rend(); ++write) {
                if (write->first == item)
                    return write->second;
            }
        }
        return "none";
    }

    /// Commits at the primary; false if it lost the lead before enough replicas had received the commit.
    bool commit(std::unique_lock<std::mutex>& lock, Backend& primary, std::vector<std::pair<std::string, std::string>> writes)
    {
        const auto commit = std::make_shared<Commit>(Commit { .point = { .term = this->term, .number = primary.log.back()->point.number + 1 }, .writes = std::move(writes) });
        this->history.push_back(commit);
        primary.log.push_back(commit);
        for (auto& backend : this->backends) {
            if (&backend == &primary || backend.isDark)
                continue;
            auto due = Clock::now() + this->draw(this->options.lag);
            if (!backend.inbox.empty())
                due = std::max(due, backend.inbox.back().first); // commits arrive in order
            backend.inbox.emplace_back(due, commit);
        }
        this->changed.wait(lock, [&] { return commit->isDropped || commit->receivers >= this->options.syncReplicas; });
        return !commit->isDropped;
    }

    Record& record;
    Store& store;
    ServiceOptions options;
    std::mutex mutex;
    std::condition_variable changed;
    std::mt19937_64 random;
    Backend backends[3];
    std::vector<CommitPointer> history;
    std::set<std::string> acknowledged; ///< Data of writes whose callers were told of success.
    std::set<std::string> arrived; ///< Ids of requests that have reached a backend.
    std::size_t leader { 0 };
    std::size_t takeOverCount { 0 };
    std::uint64_t term { 1 };
    std::uint64_t lastId { 0 };
    std::uint64_t lastDigest { 0 };
};

/// An order to promote that the platform accepted.
struct AcceptedOrder {
    std::string service;
    std::string holder;
    std::string fence;
    std::string id;
    Time at;
};

/// The platform's endpoint for promotions; it checks fences.
class Cloud {
public:
    Cloud(Record& usedRecord, const Endpoint& listen, std::vector<Service*> usedServices)
        : record(usedRecord)
        , services(std::move(usedServices))
        , server(listen, [this](const HttpRequest& request) { return HttpResponse { .status = this->serve(request) }; })
    {
    }

    [[nodiscard]] const Endpoint& address() const { return this->server.address(); }

    /// Sets how long an answer takes; the order itself is carried out at once.
    void setAnswerTime(Milliseconds time)
    {
        const std::lock_guard guard(this->mutex);
        this->answerTime = time;
    }

    [[nodiscard]] std::vector<AcceptedOrder> accepted()
    {
        const std::lock_guard guard(this->mutex);
        return this->acceptedOrders;
    }

private:
    int serve(const HttpRequest& request)
    {
        const auto json = nlohmann::json::parse(request.body, nullptr, false);
        const auto holder = request.headers.find("lease-holder");
        const auto token = request.headers.find("fencing-token");
        if (request.path != "/failover" || !json.is_object() || holder == request.headers.end() || token == request.headers.end())
            return 400;
        const auto fence = std::stoull(token->second);
        const auto name = json.at("service").get<std::string>();
        const auto id = json.at("id").get<std::string>();
        std::unique_lock lock(this->mutex);
        auto& seen = this->fences[name];
        int status = 409;
        if (fence >= seen) {
            seen = fence;
            for (auto* service : this->services) {
                if (service->name() == name)
                    status = service->order(id);
            }
        }
        if (status == 200)
            this->acceptedOrders.push_back({ .service = name, .holder = holder->second, .fence = token->second, .id = id, .at = Clock::now() });
        this->record.say("order by " + holder->second + " with fence " + token->second + ": " + id + " is to lead " + name + ", answered " + std::to_string(status));
        const auto delay = this->answerTime;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        return status;
    }

    Record& record;
    std::vector<Service*> services;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> fences; ///< Highest seen, by service.
    std::vector<AcceptedOrder> acceptedOrders;
    Milliseconds answerTime { 4 };
    HttpServer server;
};

}
