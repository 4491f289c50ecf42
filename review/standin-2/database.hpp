#pragma once

#include "store.hpp"

#include <algorithm>
#include <deque>
#include <random>
#include <set>

namespace review {

/// @brief A commit in the logs of a service.
struct Entry {
    std::uint64_t term { 0 };
    std::uint64_t number { 0 };
    std::string id; ///< Of the consumer's WRITE or COMMIT.
    bool isAcknowledged { false }; ///< The consumer has received its success.
    Time acknowledgedAt;
};

using Log = std::vector<std::shared_ptr<Entry>>;

/// @brief One service of three databases with asynchronous or synchronous replicas.
class DatabaseService {
public:
    struct Options {
        std::string name;
        std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" }; ///< Of the databases; the first one is the primary.
        unsigned synchronousReplicas { 0 };
        unsigned slots { 2 };
        Millis work { 3 }; ///< Of a read, write or commit.
        Millis receiveDelay { 1 }; ///< Until a replica receives a commit, at least.
        Millis receiveSpread { 0 }; ///< Mean of the rest of that time, which differs from commit to commit.
        Millis applyDelay { 8 }; ///< From then until it is applied.
        Millis promotion { 1000 };
        Millis heartbeat { 1200 };
        std::function<void(const std::string&)> log;
        std::function<void(const std::string& rule, const std::string& what)> broken;
    };

    DatabaseService(Loop& usedLoop, Store& usedStore, Options usedOptions)
        : loop(usedLoop)
        , store(usedStore)
        , options(std::move(usedOptions))
    {
        for (std::size_t i = 0; i < this->options.zones.size(); ++i) {
            this->servers.push_back(std::make_unique<Server>());
            auto& server = *this->servers.back();
            server.id = "i-" + this->options.name + std::to_string(i);
            server.zone = this->options.zones[i];
            this->listen(i, 0);
        }
        this->servers.front()->leads = true;
        for (std::size_t i = 0; i < this->servers.size(); ++i)
            this->registerServer(i);
    }

    [[nodiscard]] const std::string& name() const { return this->options.name; }
    [[nodiscard]] std::size_t leader() const { return this->leaderIndex; }
    [[nodiscard]] std::uint64_t currentTerm() const { return this->term; }
    [[nodiscard]] const std::string& idOf(std::size_t index) const { return this->servers[index]->id; }
    [[nodiscard]] std::size_t indexOf(const std::string& id) const
    {
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            if (this->servers[i]->id == id)
                return i;
        }
        return this->servers.size();
    }
    [[nodiscard]] std::size_t logSize(std::size_t index) const { return this->servers[index]->log.size(); }
    [[nodiscard]] std::size_t acknowledgedCount() const { return this->acknowledged.size(); }

    /// @brief The database reports that it is about to leave; it serves on.
    void drain(std::size_t index)
    {
        this->servers[index]->isDraining = true;
        this->registerServer(index);
        this->options.log(this->servers[index]->id + " reports draining");
    }

    /// @brief A new database has taken the place of one that drained, at its address and with its log.
    void undrain(std::size_t index)
    {
        this->servers[index]->isDraining = false;
        this->registerServer(index);
    }

    /// @brief The entry of a database expires, though it lives and serves.
    void expireEntry(std::size_t index)
    {
        this->store.remove("servers", this->servers[index]->id);
        this->options.log("the entry of " + this->servers[index]->id + " expires");
    }

    /// @brief The database writes its entry again.
    void renewEntry(std::size_t index)
    {
        this->registerServer(index);
        this->options.log("the entry of " + this->servers[index]->id + " is back");
    }

    [[nodiscard]] bool isUp(std::size_t index) const { return this->servers[index]->isUp; }

    /// @brief While deaf, a replica receives nothing.
    void setDeaf(std::size_t index, bool isDeaf)
    {
        auto& server = *this->servers[index];
        server.isDeaf = isDeaf;
        this->options.log(server.id + (isDeaf ? " receives nothing" : " receives again"));
        if (!isDeaf)
            this->catchUp(index);
    }

    /// @brief Crashes a database; its entry expires after three heartbeats.
    void crash(std::size_t index)
    {
        auto& server = *this->servers[index];
        server.isUp = false;
        const auto port = server.listener->port;
        server.listener.reset();
        server.port = port;
        for (const auto& session : std::exchange(server.sessions, {}))
            session->connection->close();
        this->options.log(server.id + " crashes");
        this->loop.after(this->options.heartbeat * 3, [this, index, crashes = ++server.crashes] {
            if (!this->servers[index]->isUp && this->servers[index]->crashes == crashes)
                this->store.remove("servers", this->servers[index]->id);
        });
    }

    /// @brief Starts a crashed database with its log: as the primary if no other was promoted, else as a replica.
    void restart(std::size_t index)
    {
        auto& server = *this->servers[index];
        server.isUp = true;
        server.applied = server.log.size();
        ++server.starts;
        this->listen(index, server.port);
        this->registerServer(index);
        this->options.log(server.id + " starts again");
        for (std::size_t i = 0; i < this->servers.size(); ++i)
            this->catchUp(i);
    }

    /// @brief Carries out a call of POST /failover; returns its status.
    int promote(const std::string& id)
    {
        const auto index = this->indexOf(id);
        if (index == this->servers.size() || !this->servers[index]->isUp)
            return 409;
        if (index != this->leaderIndex)
            this->loop.after(this->options.promotion, [this, index] { this->takeOver(index); });
        return 200;
    }

    /// @brief Records that a consumer has received a success with a digest.
    void acknowledge(const std::string& digest)
    {
        const auto found = this->byDigest.find(digest);
        if (found == this->byDigest.end()) {
            this->options.broken("MIXED", "a success with the digest '" + digest + "', which no database gave");
            return;
        }
        const auto& entry = found->second;
        if (!entry || std::exchange(entry->isAcknowledged, true))
            return;
        entry->acknowledgedAt = Loop::now();
        this->acknowledged.push_back(entry);
        if (this->options.synchronousReplicas > 0 && !contains(this->servers[this->leaderIndex]->log, entry))
            this->options.broken("LOST", "the commit " + describe(*entry) + " is acknowledged, and the log of the primary, " + this->servers[this->leaderIndex]->id + ", lacks it");
    }

    /// @brief Checks a position at which a read has run: it must have all commits that were acknowledged before a moment and not rolled back.
    void checkRead(const std::string& position, Time before, const std::string& what)
    {
        const auto dot = position.find('.');
        const std::pair<std::uint64_t, std::uint64_t> read(std::stoull(position.substr(0, dot)), std::stoull(position.substr(dot + 1)));
        for (auto entry = this->acknowledged.rbegin(); entry != this->acknowledged.rend(); ++entry) {
            if ((*entry)->acknowledgedAt >= before)
                continue;
            if (std::pair<std::uint64_t, std::uint64_t>((*entry)->term, (*entry)->number) > read)
                this->options.broken("STALE", what + " ran at " + position + ", which lacks " + describe(**entry));
            return;
        }
    }

    /// @brief Returns how often a consumer's write or commit stands in the primary's log.
    [[nodiscard]] std::size_t countOf(const std::string& id) const
    {
        const auto& log = this->servers[this->leaderIndex]->log;
        return static_cast<std::size_t>(std::count_if(log.begin(), log.end(), [&id](const auto& entry) { return entry->id == id; }));
    }

private:
    struct Session {
        std::shared_ptr<Connection> connection;
        std::deque<std::string> lines;
        std::string key;
        std::set<std::string> prepared;
        std::vector<std::string> writes; ///< Of the open transaction.
        bool isStarted { false };
        bool isBusy { false };
        bool inTransaction { false };
        bool isReadOnly { false };
        bool hasFailed { false };
    };

    struct Server {
        std::string id;
        std::string zone;
        std::unique_ptr<Listener> listener;
        std::uint16_t port { 0 };
        std::vector<std::shared_ptr<Session>> sessions;
        Log log;
        std::size_t applied { 0 };
        std::uint64_t termHeld { 3 };
        unsigned crashes { 0 };
        unsigned starts { 0 };
        std::uint64_t reports { 0 };
        Time arrivesAt; ///< When what was sent last arrives.
        bool leads { false };
        bool isUp { true };
        bool isDraining { false };
        bool isDeaf { false };
    };

    struct AwaitedCommit {
        std::shared_ptr<Entry> entry;
        std::shared_ptr<Session> session;
        std::string reply;
    };

    static bool contains(const Log& log, const std::shared_ptr<Entry>& entry)
    {
        return std::find(log.rbegin(), log.rend(), entry) != log.rend();
    }

    static std::string describe(const Entry& entry)
    {
        return std::to_string(entry.term) + "." + std::to_string(entry.number) + " (" + entry.id + ")";
    }

    static std::string positionOf(const Log& log, std::size_t size)
    {
        if (size == 0)
            return "3.0";
        return std::to_string(log[size - 1]->term) + "." + std::to_string(log[size - 1]->number);
    }

    void registerServer(std::size_t index)
    {
        auto& server = *this->servers[index];
        this->store.put("servers", server.id,
            Json { { "service", this->options.name }, { "address", "127.0.0.1:" + std::to_string(server.listener ? server.listener->port : server.port) }, { "zone", server.zone }, { "version", "v1" }, { "slots", this->options.slots }, { "state", server.isDraining ? "draining" : "ready" }, { "cold_remaining_ms", 0 }, { "db_role", server.leads ? "primary" : "replica" }, { "seq", ++server.reports }, { "born", 1'000'000 + server.starts } }.dump());
    }

    void listen(std::size_t index, std::uint16_t port)
    {
        this->servers[index]->listener = std::make_unique<Listener>(this->loop, "127.0.0.1", port, [this, index](auto connection) {
            auto session = std::make_shared<Session>();
            session->connection = connection;
            this->servers[index]->sessions.push_back(session);
            connection->received = [this, index, weak = std::weak_ptr(session)] {
                if (const auto open = weak.lock())
                    this->read(index, open);
            };
            connection->closed = [this, index, raw = session.get()] { std::erase_if(this->servers[index]->sessions, [raw](const auto& other) { return other.get() == raw; }); };
        });
    }

    void read(std::size_t index, const std::shared_ptr<Session>& session)
    {
        std::string line;
        while (takeLine(session->connection->input, line))
            session->lines.push_back(line);
        this->pump(index, session);
    }

    void pump(std::size_t index, const std::shared_ptr<Session>& session)
    {
        if (session->isBusy || session->lines.empty() || !session->connection->isOpen())
            return;
        session->isBusy = true;
        auto line = std::move(session->lines.front());
        session->lines.pop_front();
        const bool works = line.find(" READ ") != std::string::npos || line.find(" WRITE ") != std::string::npos || line.ends_with("COMMIT");
        this->loop.after(works ? this->options.work : Millis(0), [this, index, session, line] {
            if (!session->connection->isOpen())
                return;
            this->handle(index, session, line);
        });
    }

    void answer(std::size_t index, const std::shared_ptr<Session>& session, const std::string& result)
    {
        const auto& server = *this->servers[index];
        const auto* state = session->hasFailed ? "E" : session->inTransaction ? "T"
                                                                              : "I";
        session->connection->write(result + "READY " + state + " " + positionOf(server.log, server.applied) + "\r\n");
        session->isBusy = false;
        this->pump(index, session);
    }

    void refuse(std::size_t index, const std::shared_ptr<Session>& session, const std::string& code)
    {
        session->hasFailed = session->inTransaction;
        this->answer(index, session, "ERROR " + code + " " + this->servers[index]->id + "\r\n");
    }

    [[nodiscard]] std::string nextDigest(const std::shared_ptr<Entry>& entry)
    {
        auto digest = "d." + std::to_string(++this->lastDigest);
        this->byDigest[digest] = entry;
        return digest;
    }

    void handle(std::size_t index, const std::shared_ptr<Session>& session, std::string line)
    {
        auto& server = *this->servers[index];
        const auto word = takeWord(line);
        if (word == "STARTUP") {
            const auto service = takeWord(line);
            session->key = takeWord(line);
            if (service != this->options.name || (!line.empty() && line != server.id)) {
                session->connection->write("ERROR MISROUTED " + server.id + "\r\n");
                session->connection->close();
                return;
            }
            this->answer(index, session, "");
            return;
        }
        if (word == "TERMINATE") {
            session->connection->close();
            return;
        }
        const auto id = takeWord(line);
        if (line.starts_with("AFTER ")) {
            takeWord(line);
            if (!this->holds(server, takeWord(line))) {
                this->refuse(index, session, "LAGGING");
                return;
            }
        }
        this->run(index, session, id, line);
    }

    [[nodiscard]] static bool holds(const Server& server, const std::string& position)
    {
        const auto dot = position.find('.');
        const std::pair<std::uint64_t, std::uint64_t> wanted(std::stoull(position.substr(0, dot)), std::stoull(position.substr(dot + 1)));
        if (server.applied == 0)
            return wanted.second == 0;
        const auto& last = *server.log[server.applied - 1];
        return std::pair<std::uint64_t, std::uint64_t>(last.term, last.number) >= wanted;
    }

    void run(std::size_t index, const std::shared_ptr<Session>& session, const std::string& id, std::string text)
    {
        auto& server = *this->servers[index];
        const auto word = takeWord(text);
        if (word == "STATUS") {
            const auto lag = index == this->leaderIndex ? 0 : this->servers[this->leaderIndex]->log.size() - server.log.size();
            this->answer(index, session, std::string("DATAROW ") + (server.leads ? "primary " : "replica ") + std::to_string(server.termHeld) + " " + positionOf(server.log, server.log.size()) + " " + std::to_string(lag) + " 0 0 " + std::to_string(server.sessions.size()) + "\r\nCOMPLETE -\r\n");
            return;
        }
        if (word == "ROLLBACK") {
            this->end(*session);
            this->answer(index, session, "COMPLETE -\r\n");
            return;
        }
        if (session->hasFailed) {
            if (word == "COMMIT") {
                this->end(*session);
                this->answer(index, session, "ERROR ABORTED -\r\n");
                return;
            }
            this->answer(index, session, "ERROR MALFORMED -\r\n");
            return;
        }
        const bool isPlain = session->inTransaction && !session->isReadOnly;
        const bool needsLead = word == "WRITE" || (word == "BEGIN" && text.empty()) || (isPlain && (word == "READ" || (word == "COMMIT" && !session->writes.empty())));
        if (needsLead && (!server.leads || session->isReadOnly)) {
            if (word == "COMMIT")
                this->end(*session);
            this->refuse(index, session, "READONLY");
            return;
        }
        if (word == "BEGIN") {
            session->inTransaction = true;
            session->isReadOnly = !text.empty();
            this->answer(index, session, "COMPLETE -\r\n");
        } else if (word == "READ")
            this->answer(index, session, "DATAROW " + positionOf(server.log, server.applied) + "\r\nCOMPLETE " + this->nextDigest(nullptr) + "\r\n");
        else if (word == "WRITE" && session->inTransaction) {
            session->writes.push_back(id);
            this->answer(index, session, "COMPLETE " + this->nextDigest(nullptr) + "\r\n");
        } else if (word == "WRITE")
            this->commit(index, session, id);
        else if (word == "COMMIT") {
            const bool hasWritten = !session->writes.empty();
            this->end(*session);
            if (hasWritten)
                this->commit(index, session, id);
            else
                this->answer(index, session, "COMPLETE " + this->nextDigest(nullptr) + "\r\n");
        } else
            this->answer(index, session, "COMPLETE -\r\n"); // SET, PREPARE, DEALLOC, RESET
    }

    static void end(Session& session)
    {
        session.writes.clear();
        session.inTransaction = session.isReadOnly = session.hasFailed = false;
    }

    void commit(std::size_t index, const std::shared_ptr<Session>& session, const std::string& id)
    {
        auto& server = *this->servers[index];
        auto entry = std::make_shared<Entry>(Entry { .term = this->term, .number = server.log.empty() ? 1 : server.log.back()->number + 1, .id = id });
        server.log.push_back(entry);
        server.applied = server.log.size();
        const auto size = server.log.size();
        this->options.log("    " + server.id + " runs " + id + " as " + std::to_string(entry->term) + "." + std::to_string(entry->number));
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            if (i != index)
                this->sendTo(i, size);
        }
        const auto reply = "COMPLETE " + this->nextDigest(entry) + "\r\n";
        if (this->options.synchronousReplicas == 0)
            this->answer(index, session, reply);
        else
            this->awaited.push_back({ .entry = entry, .session = session, .reply = reply });
    }

    /// Sends the primary's log up to a size to a replica; what is sent later arrives later.
    void sendTo(std::size_t index, std::size_t size)
    {
        auto& server = *this->servers[index];
        std::exponential_distribution<double> draw(1.0 / std::max<double>(1e-9, static_cast<double>(this->options.receiveSpread.count())));
        const auto spread = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(this->options.receiveSpread.count() == 0 ? 0 : draw(this->random)));
        server.arrivesAt = std::max(server.arrivesAt, Loop::now() + this->options.receiveDelay + spread);
        this->loop.after(server.arrivesAt - Loop::now(), [this, index, size, sent = this->epoch] { this->receive(index, size, sent); });
    }

    /// A replica receives what it lacks, if there is a primary to send it.
    void catchUp(std::size_t index)
    {
        this->loop.after(this->options.receiveDelay, [this, index, sent = this->epoch] {
            if (this->servers[this->leaderIndex]->isUp)
                this->receive(index, this->servers[this->leaderIndex]->log.size(), sent);
        });
    }

    /// A replica receives the primary's log up to a size.
    void receive(std::size_t index, std::size_t size, unsigned sent)
    {
        auto& server = *this->servers[index];
        if (!server.isUp || server.isDeaf || sent != this->epoch || index == this->leaderIndex)
            return;
        const auto& source = this->servers[this->leaderIndex]->log;
        if (server.log.size() < size || !std::equal(server.log.begin(), server.log.end(), source.begin())) {
            server.log.assign(source.begin(), source.begin() + static_cast<std::ptrdiff_t>(size));
            server.applied = std::min(server.applied, size);
        }
        server.termHeld = this->term;
        this->loop.after(this->options.applyDelay, [this, index, size, sent] {
            if (sent == this->epoch)
                this->servers[index]->applied = std::max(this->servers[index]->applied, size);
        });
        this->confirmAwaited();
    }

    /// Answers commits that enough replicas have received.
    void confirmAwaited()
    {
        std::vector<AwaitedCommit> confirmed;
        std::erase_if(this->awaited, [&](const auto& commit) {
            std::size_t copies = 0;
            for (std::size_t i = 0; i < this->servers.size(); ++i)
                copies += i != this->leaderIndex && this->servers[i]->isUp && contains(this->servers[i]->log, commit.entry) ? 1 : 0;
            if (copies < this->options.synchronousReplicas)
                return false;
            confirmed.push_back(commit);
            return true;
        });
        for (const auto& commit : confirmed)
            this->answer(this->leaderIndex, commit.session, commit.reply);
    }

    void takeOver(std::size_t index)
    {
        if (!this->servers[index]->isUp || index == this->leaderIndex)
            return;
        const auto old = std::exchange(this->leaderIndex, index);
        ++this->term;
        ++this->epoch;
        auto& heir = *this->servers[index];
        this->servers[old]->leads = false;
        heir.leads = true;
        heir.termHeld = this->term;
        this->options.log(heir.id + " leads term " + std::to_string(this->term) + " with " + std::to_string(heir.log.size()) + " commits; " + this->servers[old]->id + " had " + std::to_string(this->servers[old]->log.size()));
        for (const auto& commit : std::exchange(this->awaited, {}))
            commit.session->connection->close();
        this->checkAcknowledged(heir);
        this->loop.after(this->options.applyDelay, [this, index, sent = this->epoch] {
            if (sent == this->epoch)
                this->servers[index]->applied = this->servers[index]->log.size();
        });
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            if (i != index)
                this->loop.after(this->options.receiveDelay, [this, i, sent = this->epoch] { this->receive(i, this->servers[this->leaderIndex]->log.size(), sent); });
        }
        if (this->servers[old]->isUp)
            this->registerServer(old);
        this->registerServer(index);
    }

    void checkAcknowledged(const Server& heir)
    {
        const std::set<std::shared_ptr<Entry>> kept(heir.log.begin(), heir.log.end());
        std::size_t missing = 0;
        std::string first;
        for (const auto& entry : this->acknowledged) {
            if (kept.contains(entry))
                continue;
            if (missing++ == 0)
                first = describe(*entry);
        }
        if (missing > 0 && this->options.synchronousReplicas == 0)
            this->options.log(std::to_string(missing) + " acknowledged commits are rolled back");
        if (missing > 0 && this->options.synchronousReplicas > 0)
            this->options.broken("LOST", std::to_string(missing) + " acknowledged commits are not in the log of " + heir.id + ", which is promoted; the first is " + first);
        std::erase_if(this->acknowledged, [&](const auto& entry) { return !kept.contains(entry); });
    }

    Loop& loop;
    Store& store;
    Options options;
    std::vector<std::unique_ptr<Server>> servers;
    std::size_t leaderIndex { 0 };
    std::uint64_t term { 3 };
    unsigned epoch { 0 }; ///< Counts the changes of the primary.
    std::vector<AwaitedCommit> awaited;
    std::vector<std::shared_ptr<Entry>> acknowledged;
    std::map<std::string, std::shared_ptr<Entry>> byDigest; ///< Null for what commits nothing.
    std::uint64_t lastDigest { 0 };
    std::minstd_rand random { std::random_device {}() };
};

}
