#include "amaranthhall/standin/sql_text.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <regex>
#include <utility>

namespace amaranthhall::standin {

namespace {

    using Match = std::match_results<std::string_view::const_iterator>;

    char toUpper(char letter)
    {
        return static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }

    bool isWordLetter(char letter)
    {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '_' || letter == '.';
    }

    /// Gives the index after a quoted text or comment that begins at an index, or the index itself.
    std::size_t skipQuoted(std::string_view text, std::size_t at)
    {
        const auto skipTo = [&](std::string_view closing, std::size_t from) {
            const auto found = text.find(closing, from);
            return found == std::string_view::npos ? text.size() : found + closing.size();
        };
        const auto rest = text.substr(at);
        if (rest.starts_with('\'') || rest.starts_with('"'))
            return skipTo(rest.substr(0, 1), at + 1);
        if (rest.starts_with("--"))
            return skipTo("\n", at + 2);
        if (rest.starts_with("/*"))
            return skipTo("*/", at + 2);
        return at;
    }

}

std::vector<std::string> splitWords(std::string_view text)
{
    std::vector<std::string> words;
    std::string word;
    for (std::size_t i = 0; i <= text.size(); ++i) {
        if (const auto after = i < text.size() ? skipQuoted(text, i) : i; after != i) {
            i = after - 1;
            continue;
        }
        if (i < text.size() && isWordLetter(text[i])) {
            word.push_back(toUpper(text[i]));
            continue;
        }
        if (!word.empty())
            words.push_back(std::exchange(word, {}));
    }
    return words;
}

std::string firstWord(std::string_view text)
{
    const auto words = splitWords(text.substr(0, std::min<std::size_t>(text.size(), 4096)));
    return words.empty() ? std::string() : words.front();
}

std::vector<std::string_view> splitStatements(std::string_view text)
{
    std::vector<std::string_view> statements;
    std::size_t begin = 0;
    for (std::size_t i = 0; i <= text.size(); ++i) {
        if (const auto after = i < text.size() ? skipQuoted(text, i) : i; after != i) {
            i = after - 1;
            continue;
        }
        if (i < text.size() && text[i] != ';')
            continue;
        const auto statement = text.substr(begin, i - begin);
        if (!splitWords(statement).empty())
            statements.push_back(statement);
        begin = i + 1;
    }
    return statements;
}

TransactionCommand readTransactionCommand(std::string_view text)
{
    const auto words = splitWords(text.substr(0, std::min<std::size_t>(text.size(), 256)));
    if (words.empty())
        return TransactionCommand::None;
    const auto& word = words.front();
    if (word == "BEGIN" || (word == "START" && words.size() > 1 && words[1] == "TRANSACTION"))
        return TransactionCommand::Begin;
    if (word == "COMMIT" || word == "END")
        return TransactionCommand::Commit;
    if (word == "ROLLBACK" || word == "ABORT")
        return std::ranges::find(words, "TO") != words.end() ? TransactionCommand::RollbackTo : TransactionCommand::Rollback;
    if (word == "SAVEPOINT")
        return TransactionCommand::Savepoint;
    return word == "RELEASE" ? TransactionCommand::Release : TransactionCommand::None;
}

LockingText stripLocking(std::string_view text)
{
    static const std::regex pattern(R"(\s+FOR\s+(NO\s+KEY\s+)?(UPDATE|SHARE|KEY\s+SHARE)(\s+(NOWAIT|SKIP\s+LOCKED))?\s*;?\s*$)", std::regex::icase);
    const auto tail = text.substr(text.size() - std::min<std::size_t>(text.size(), 64));
    Match match;
    if (!std::regex_search(tail.begin(), tail.end(), match, pattern))
        return { .text = std::string(text) };
    return { .text = std::string(text.substr(0, text.size() - tail.size() + static_cast<std::size_t>(match.position(0)))), .locks = true };
}

bool isUnreplicable(std::string_view text)
{
    static constexpr std::array<std::string_view, 9> unstable { "RANDOM", "RANDOMBLOB", "CURRENT_TIMESTAMP", "CURRENT_TIME", "CURRENT_DATE", "NOW", "LAST_INSERT_ROWID", "TEMP", "TEMPORARY" };
    const auto words = splitWords(text);
    return std::ranges::any_of(words, [](const std::string& word) { return std::ranges::find(unstable, word) != unstable.end(); });
}

std::optional<double> parseSleep(std::string_view text)
{
    static const std::regex pattern(R"(^\s*SELECT\s+pg_sleep\s*\(\s*([0-9.]{1,10})\s*\)\s*;?\s*$)", std::regex::icase);
    Match match;
    if (text.size() > 256 || !std::regex_match(text.begin(), text.end(), match, pattern))
        return std::nullopt;
    return std::stod(match[1].str());
}

}
