#pragma once

#include "loop.hpp"

#include <list>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

namespace review {

using Json = nlohmann::json;

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// @brief HTTP/1.1 server with kept connections; a request may be answered later or never.
class HttpServer {
public:
    using Answer = std::function<void(int status, const std::string& body)>;
    using Handler = std::function<void(const HttpRequest&, Answer)>;

    HttpServer(Loop& usedLoop, Handler usedHandler)
        : handler(std::move(usedHandler))
        , listener(usedLoop, "127.0.0.1", 0, [this](auto connection) { this->accept(connection); })
    {
    }

    [[nodiscard]] std::uint16_t port() const { return this->listener.port; }

private:
    void accept(const std::shared_ptr<Connection>& connection)
    {
        this->connections.push_back(connection);
        connection->received = [this, raw = connection.get()] { this->read(*raw); };
        connection->closed = [this, raw = connection.get()] { this->connections.remove_if([raw](const auto& other) { return other.get() == raw; }); };
    }

    void read(Connection& connection)
    {
        for (;;) {
            const auto headEnd = connection.input.find("\r\n\r\n");
            if (headEnd == std::string::npos)
                return;
            auto head = connection.input.substr(0, headEnd + 2);
            HttpRequest request;
            std::string line;
            takeLine(head, line);
            request.method = takeWord(line);
            parseTarget(request, takeWord(line));
            while (takeLine(head, line)) {
                const auto colon = line.find(':');
                auto name = line.substr(0, colon);
                for (auto& letter : name)
                    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
                const auto begin = line.find_first_not_of(' ', colon + 1);
                request.headers[name] = begin == std::string::npos ? "" : line.substr(begin);
            }
            const auto length = request.headers.contains("content-length") ? std::stoul(request.headers["content-length"]) : 0;
            if (connection.input.size() < headEnd + 4 + length)
                return;
            request.body = connection.input.substr(headEnd + 4, length);
            connection.input.erase(0, headEnd + 4 + length);
            this->handler(request, [weak = connection.weak_from_this()](int status, const std::string& body) {
                if (const auto open = weak.lock())
                    open->write("HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            });
        }
    }

    static std::string decode(const std::string& text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else
                out += text[i] == '+' ? ' ' : text[i];
        }
        return out;
    }

    static void parseTarget(HttpRequest& request, const std::string& target)
    {
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        auto rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
        while (!rest.empty()) {
            const auto pair = rest.substr(0, rest.find('&'));
            rest.erase(0, pair.size() + 1);
            const auto equals = pair.find('=');
            request.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : decode(pair.substr(equals + 1));
        }
    }

    Handler handler;
    std::list<std::shared_ptr<Connection>> connections;
    Listener listener;
};

inline std::string toBase64(std::string_view bytes)
{
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = (group << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= bytes.size() ? letters[(group >> (18U - 6U * k)) & 63U] : '=';
    }
    return out;
}

inline std::string fromBase64(std::string_view text)
{
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const auto letter : text) {
        const auto value = letters.find(letter);
        if (value == std::string_view::npos)
            break;
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>((group >> bits) & 255U);
        }
    }
    return out;
}

/// @brief The platform's metadata store: linearizable, loses nothing, answers after 4 ms.
class Store {
public:
    explicit Store(Loop& usedLoop)
        : loop(usedLoop)
        , server(usedLoop, [this](const auto& request, auto answer) {
            this->loop.after(Millis(4), [this, request, answer] { this->serve(request, answer); });
        })
    {
    }

    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }

    bool down { false }; ///< Answers no call of a daemon.
    std::function<void(const Json& transaction)> onTransaction; ///< Called once a transaction is done, before its answer is sent.

    /// @brief Writes a row as operators and servers do.
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        this->set({ table, "", key }, { .value = value, .version = ++this->version });
        this->wake();
    }

    void remove(const std::string& table, const std::string& key)
    {
        const auto found = this->rows.find({ table, "", key });
        if (found == this->rows.end() || found->second.isRemoved)
            return;
        this->set({ table, "", key }, { .version = ++this->version, .isRemoved = true });
        this->wake();
    }

    [[nodiscard]] std::string value(const std::string& table, const std::string& key) const
    {
        const auto found = this->rows.find({ table, "", key });
        return found == this->rows.end() ? std::string() : found->second.value;
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool isRemoved { false };
    };
    struct Feed {
        std::uint64_t id { 0 };
        std::string table;
        std::uint64_t after { 0 };
        HttpServer::Answer answer;
    };

    static std::int64_t nowMs() { return std::chrono::duration_cast<Millis>(Loop::now().time_since_epoch()).count(); }

    void set(const Key& key, Row row) { this->rows[key] = std::move(row); }

    static Key keyOf(const Json& entry) { return { entry.at("table").get<std::string>(), entry.value("part", ""), entry.at("key").get<std::string>() }; }

    static Json encode(const Key& key, const Row& row)
    {
        Json entry { { "table", std::get<0>(key) }, { "part", std::get<1>(key) }, { "key", std::get<2>(key) }, { "ver", row.version } };
        if (row.isRemoved)
            entry["tombstone"] = true;
        else
            entry["value"] = toBase64(row.value);
        return entry;
    }

    void serve(const HttpRequest& request, const HttpServer::Answer& answer)
    {
        if (this->down)
            return;
        if (request.path == "/v1/rows-get")
            this->serveGet(request, answer);
        else if (request.path == "/v1/rows-feed")
            this->serveFeed(request, answer);
        else if (request.path == "/v1/rows-tx")
            this->serveTransaction(request, answer);
        else
            answer(404, "{}");
    }

    void serveGet(const HttpRequest& request, const HttpServer::Answer& answer) const
    {
        const auto field = [&](const char* name) { return request.query.contains(name) ? request.query.at(name) : std::string(); };
        auto list = Json::array();
        for (const auto& [key, row] : this->rows) {
            if (std::get<0>(key) == field("table") && std::get<1>(key) == field("part") && std::get<2>(key) >= field("from") && !row.isRemoved)
                list.push_back(encode(key, row));
        }
        answer(200, Json { { "rows", list }, { "has_more", false }, { "ver", this->version }, { "now_ms", nowMs() } }.dump());
    }

    void serveFeed(const HttpRequest& request, const HttpServer::Answer& answer)
    {
        Feed feed { .id = ++this->lastFeed, .table = request.query.at("table"), .after = std::stoull(request.query.at("after")), .answer = answer };
        if (this->answerFeed(feed, false))
            return;
        const auto wait = Millis(std::stoll(request.query.at("wait_ms")));
        const auto id = feed.id;
        this->feeds.push_back(std::move(feed));
        this->loop.after(wait, [this, id] {
            this->feeds.remove_if([&](const auto& waiting) { return waiting.id == id && this->answerFeed(waiting, true); });
        });
    }

    bool answerFeed(const Feed& feed, bool mustAnswer) const
    {
        std::map<std::uint64_t, std::vector<Json>> changes;
        for (const auto& [key, row] : this->rows) {
            if (std::get<0>(key) == feed.table && row.version > feed.after)
                changes[row.version].push_back(encode(key, row));
        }
        if (changes.empty() && !mustAnswer)
            return false;
        auto list = Json::array();
        for (const auto& [number, entries] : changes) {
            for (const auto& entry : entries)
                list.push_back(entry);
        }
        feed.answer(200, Json { { "rows", list }, { "ver", this->version }, { "now_ms", nowMs() } }.dump());
        return true;
    }

    void wake()
    {
        this->feeds.remove_if([this](const auto& feed) { return this->answerFeed(feed, false); });
    }

    void serveTransaction(const HttpRequest& request, const HttpServer::Answer& answer)
    {
        const auto json = Json::parse(request.body);
        auto present = Json::array();
        bool holds = true;
        for (const auto& condition : json.value("expect_rev", Json::array())) {
            const auto found = this->rows.find(keyOf(condition));
            const bool exists = found != this->rows.end() && !found->second.isRemoved;
            if (exists)
                present.push_back(encode(found->first, found->second));
            holds = holds && (exists ? found->second.version : 0) == condition.at("ver").get<std::uint64_t>();
        }
        if (!holds) {
            answer(412, Json { { "rows", present }, { "ver", this->version }, { "now_ms", nowMs() } }.dump());
            return;
        }
        ++this->version;
        for (const auto& entry : json.value("set_keys", Json::array()))
            this->set(keyOf(entry), { .value = fromBase64(entry.at("value").get<std::string>()), .version = this->version });
        for (const auto& entry : json.value("remove", Json::array()))
            this->set(keyOf(entry), { .version = this->version, .isRemoved = true });
        if (this->onTransaction)
            this->onTransaction(json);
        answer(200, Json { { "ver", this->version }, { "now_ms", nowMs() } }.dump());
        this->wake();
    }

    Loop& loop;
    std::map<Key, Row> rows;
    std::list<Feed> feeds;
    std::uint64_t version { 0 };
    std::uint64_t lastFeed { 0 };
    HttpServer server;
};

/// @brief A call of POST /failover.
struct FailoverCall {
    std::string service;
    std::string id;
    std::string holder;
    std::uint64_t token { 0 };
};

/// @brief The platform's endpoint for calls that are the duty of one daemon at a time.
class Cloud {
public:
    struct Options {
        bool requiresFence { true };
        std::function<int(const FailoverCall&)> execute; ///< Carries a call out; returns the status.
        std::function<std::optional<Millis>(const FailoverCall&)> delayOf; ///< Delay of a call that gets no answer and is carried out late; empty for others.
        std::function<void(const std::string&)> log;
        std::function<void(const std::string& rule, const std::string& what)> broken;
    };

    Cloud(Loop& usedLoop, Options usedOptions)
        : loop(usedLoop)
        , options(std::move(usedOptions))
        , server(usedLoop, [this](const auto& request, auto answer) { this->serve(request, answer); })
    {
    }

    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }
    [[nodiscard]] const std::vector<FailoverCall>& carriedOut() const { return this->done; }

private:
    void serve(const HttpRequest& request, const HttpServer::Answer& answer)
    {
        const auto json = Json::parse(request.body);
        const FailoverCall call { .service = json.at("service"), .id = json.at("id"), .holder = request.headers.at("lease-holder"), .token = std::stoull(request.headers.at("fencing-token")) };
        this->checkToken(call);
        const auto text = "failover of " + call.service + " to " + call.id + " by " + call.holder + " with token " + std::to_string(call.token);
        if (const auto late = this->options.delayOf ? this->options.delayOf(call) : std::nullopt) {
            this->options.log(text + ": no answer, carried out " + std::to_string(late->count()) + " ms later");
            this->loop.after(*late, [this, call, text] { this->options.log(text + ": carried out late, " + std::to_string(this->carryOut(call))); });
            return;
        }
        const auto status = this->carryOut(call);
        this->options.log(text + ": " + std::to_string(status));
        answer(status, "{}");
    }

    /// Where the platform doesn't check fences, no daemon may send a lower one than it has seen; nowhere may two holders use the same.
    void checkToken(const FailoverCall& call)
    {
        auto& newest = this->newestSent[call.service];
        if (!this->options.requiresFence && call.token < newest)
            this->options.broken("ONE", call.holder + " sends a call for " + call.id + " with the fence " + std::to_string(call.token) + ", and the platform has seen " + std::to_string(newest));
        newest = std::max(newest, call.token);
        const auto [known, isFirst] = this->holders.try_emplace({ call.service, call.token }, call.holder);
        if (!isFirst && known->second != call.holder)
            this->options.broken("ONE", call.holder + " and " + known->second + " use the fence " + std::to_string(call.token));
    }

    /// The fence is checked when the call is carried out.
    int carryOut(const FailoverCall& call)
    {
        auto& newest = this->newestToken[call.service];
        if (this->options.requiresFence && call.token < newest)
            return 409;
        newest = std::max(newest, call.token);
        const auto status = this->options.execute(call);
        if (status == 200)
            this->done.push_back(call);
        return status;
    }

    Loop& loop;
    Options options;
    std::map<std::string, std::uint64_t> newestToken; ///< Of the calls that were carried out.
    std::map<std::string, std::uint64_t> newestSent;
    std::map<std::pair<std::string, std::uint64_t>, std::string> holders; ///< By service and fence.
    std::vector<FailoverCall> done;
    HttpServer server;
};

}
