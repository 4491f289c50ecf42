#include "session/session_bench.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

std::filesystem::path goldenFolder()
{
    return std::filesystem::canonical("/proc/self/exe").parent_path().parent_path().parent_path() / "test" / "golden";
}

std::vector<std::string> readLines(const std::filesystem::path& file)
{
    std::ifstream stream(file);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

std::vector<std::string> words(const std::string& text)
{
    std::istringstream stream(text);
    std::vector<std::string> found;
    for (std::string word; stream >> word;)
        found.push_back(word == "-" ? "" : word);
    return found;
}

std::string joinFrom(const std::vector<std::string>& parts, std::size_t first)
{
    std::string text;
    for (auto i = first; i < parts.size(); ++i)
        text += (i > first ? " " : "") + parts[i];
    return text;
}

std::string unescape(std::string text)
{
    for (auto at = text.find("\\n"); at != std::string::npos; at = text.find("\\n"))
        text.replace(at, 2, "\n");
    return text;
}

std::string parseBody(const std::vector<std::string>& parts)
{
    pgwire::FrameWriter writer;
    writer.addText(parts.at(2));
    writer.addText(joinFrom(parts, 3));
    writer.addInt16(0);
    return writer.bytes();
}

std::string bindBody(const std::vector<std::string>& parts)
{
    pgwire::FrameWriter writer;
    writer.addText(parts.at(2));
    writer.addText(parts.at(3));
    writer.addInt16(0);
    writer.addInt16(static_cast<std::int16_t>(parts.size() - 4));
    for (auto i = std::size_t { 4 }; i < parts.size(); ++i)
        writer.addValue(parts[i]);
    writer.addInt16(0);
    return writer.bytes();
}

std::string namedBody(const std::vector<std::string>& parts)
{
    return parts.at(2) + parts.at(3) + std::string(1, '\0');
}

std::string executeBody(const std::vector<std::string>& parts)
{
    pgwire::FrameWriter writer;
    writer.addText(parts.at(2));
    writer.addInt32(parts.size() > 3 ? std::stoi(parts[3]) : 0);
    return writer.bytes();
}

std::string messageBody(const std::string& line)
{
    const auto parts = words(line);
    switch (parts.at(1).front()) {
    case 'P':
        return parseBody(parts);
    case 'B':
        return bindBody(parts);
    case 'D':
    case 'C':
        return namedBody(parts);
    case 'E':
        return executeBody(parts);
    case 'Q':
    case 'f':
        return (line.size() > 4 ? line.substr(4) : "") + std::string(1, '\0');
    case 'd':
        return line.substr(4) + "\n";
    default:
        return {};
    }
}

/// Plays the input lines of a golden file and writes them down together with what comes of them.
class Player {
public:
    std::string play(const std::vector<std::string>& lines)
    {
        for (std::size_t i = 0; i < lines.size(); ++i) {
            const auto& line = lines[i];
            if (line.starts_with("< ") || line.starts_with("| "))
                continue;
            this->transcript += line + "\n";
            this->act(line);
            std::size_t expected = 0;
            while (i + 1 + expected < lines.size() && (lines[i + 1 + expected].starts_with("< ") || lines[i + 1 + expected].starts_with("| ")))
                ++expected;
            this->collect(expected);
        }
        return this->transcript;
    }

private:
    void act(const std::string& line)
    {
        const auto parts = words(line);
        if (parts.empty() || line.starts_with("#"))
            return;
        if (parts[0] == "connect") {
            this->begin();
            this->caller = std::make_unique<session::fakes::RawCaller>(this->bench);
            this->caller->sendStartup(parts.at(1), joinFrom(parts, 2));
            this->printed = 0;
        } else if (parts[0] == "@") {
            this->addReply(line.substr(2));
        } else if (parts[0] == "deadline") {
            this->bench.image.services.front().statementDeadline = std::chrono::milliseconds(std::stoi(parts.at(1)));
        } else if (parts[0] == "stale") {
            this->bench.image.services.front().maxStale = std::chrono::milliseconds(std::stoi(parts.at(1)));
        } else if (parts[0] == "instance") {
            this->bench.image.upstreams.push_back({ .id = { .group = { .service = "coach-ledger", .instance = parts.at(1) }, .name = "a" } });
        } else if (parts[0] == "confirmation") {
            this->bench.confirmer->result = parts.at(1) == "superseded" ? upstream::Confirmation::Superseded : parts.at(1) == "late" ? upstream::Confirmation::TimedOut
                                                                                                                                     : upstream::Confirmation::Confirmed;
        } else if (parts[0] == "refusal") {
            this->bench.dispatcher->refuseNext({ .sqlstate = parts.at(1), .message = joinFrom(parts, 2), .retryAfter = 250ms });
        } else if (parts[0] == "drain") {
            this->bench.listener->drain([] {});
        } else if (parts[0] == "bytes") {
            this->caller->send(joinFrom(parts, 1));
        } else if (parts[0] == ">") {
            this->caller->sendMessage(parts.at(1).front(), messageBody(line));
        }
    }

    void begin()
    {
        if (!this->bench.listener)
            this->bench.start();
    }

    void addReply(const std::string& text)
    {
        const auto arrow = text.find(" => ");
        session::fakes::Reply reply;
        std::istringstream stream(text.substr(arrow + 4));
        for (std::string part; std::getline(stream, part, ';');)
            reply.push_back(unescape(part.substr(part.find_first_not_of(' '))));
        this->bench.upstream.replies[text.substr(0, arrow)].push_back(std::move(reply));
    }

    void collect(std::size_t expected)
    {
        if (!this->caller)
            return;
        auto count = [this] { return this->caller->lines().size() - this->printed + this->bench.upstream.events.size() - this->told + (this->caller->isClosed() && !this->toldClosed ? 1 : 0); };
        this->bench.turnUntil([&] { return count() >= expected; }, 2s);
        this->bench.turnFor(expected == 0 && std::getenv("AMARANTHHALL_UPDATE_GOLDEN") ? 300ms : 3ms);
        for (; this->told < this->bench.upstream.events.size(); ++this->told)
            this->transcript += "| " + this->bench.upstream.events[this->told] + "\n";
        for (; this->printed < this->caller->lines().size(); ++this->printed)
            this->transcript += "< " + this->caller->lines()[this->printed] + "\n";
        if (this->caller->isClosed() && !this->toldClosed) {
            this->transcript += "< (closed)\n";
            this->toldClosed = true;
        }
    }

    session::fakes::SessionBench bench;
    std::unique_ptr<session::fakes::RawCaller> caller;
    std::string transcript;
    std::size_t printed { 0 };
    std::size_t told { 0 };
    bool toldClosed { false };
};

void checkGolden(const std::string& name)
{
    const auto file = goldenFolder() / (name + ".txt");
    const auto lines = readLines(file);
    CHECK_TEXT(!lines.empty(), file.c_str());
    std::string expected;
    for (const auto& line : lines)
        expected += line + "\n";
    const auto played = Player().play(lines);
    if (std::getenv("AMARANTHHALL_UPDATE_GOLDEN"))
        std::ofstream(file) << played;
    else
        STRCMP_EQUAL(expected.c_str(), played.c_str());
}

}

TEST_GROUP(GoldenSession) {};

TEST(GoldenSession, StartupOfAnUnknownService) { checkGolden("startup-unknown-service"); }

TEST(GoldenSession, SeveralInstances) { checkGolden("startup-several-instances"); }

TEST(GoldenSession, MalformedFrame) { checkGolden("malformed-frame"); }

TEST(GoldenSession, SimpleQuery) { checkGolden("simple-query"); }

TEST(GoldenSession, SeveralStatements) { checkGolden("several-statements"); }

TEST(GoldenSession, ReadsAndWrites) { checkGolden("read-your-writes"); }

TEST(GoldenSession, Transaction) { checkGolden("transaction"); }

TEST(GoldenSession, RefusedStatements) { checkGolden("refused-statements"); }

TEST(GoldenSession, ExtendedQuery) { checkGolden("extended-query"); }

TEST(GoldenSession, PortalWithRowLimit) { checkGolden("portal-row-limit"); }

TEST(GoldenSession, ErrorSkipsToSync) { checkGolden("error-skips-to-sync"); }

TEST(GoldenSession, CopyIn) { checkGolden("copy-in"); }

TEST(GoldenSession, CopyOut) { checkGolden("copy-out"); }

TEST(GoldenSession, LostWrite) { checkGolden("lost-write"); }

TEST(GoldenSession, LostRead) { checkGolden("lost-read"); }

TEST(GoldenSession, LostTransaction) { checkGolden("lost-transaction"); }

TEST(GoldenSession, SupersededPrimary) { checkGolden("superseded-primary"); }

TEST(GoldenSession, StatementDeadline) { checkGolden("statement-deadline"); }

TEST(GoldenSession, RequestKey) { checkGolden("request-key"); }

TEST(GoldenSession, RequestKeyOfATransaction) { checkGolden("request-key-transaction"); }

TEST(GoldenSession, StaleReads)
{
    checkGolden("stale-reads");
}

TEST(GoldenSession, RepeatedRequestKey)
{
    checkGolden("request-key-repeat");
}

TEST(GoldenSession, FlushedWrites)
{
    checkGolden("flushed-writes");
}

TEST(GoldenSession, SessionToken) { checkGolden("session-token"); }

TEST(GoldenSession, SessionSettings) { checkGolden("session-settings"); }

TEST(GoldenSession, Refusal) { checkGolden("refusal"); }

TEST(GoldenSession, Drain) { checkGolden("drain"); }
