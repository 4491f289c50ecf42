#include "amaranthhall/standin/session_parameters.hpp"

#include "amaranthhall/standin/sql_text.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <regex>

namespace amaranthhall::standin {

namespace {

    constexpr std::array<std::string_view, 7> reportedNames { "application_name", "client_encoding", "datestyle", "integer_datetimes", "server_version", "standard_conforming_strings", "timezone" };

    std::string toLower(std::string text)
    {
        std::ranges::transform(text, text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return text;
    }

    std::string properName(const std::string& name)
    {
        if (name == "datestyle")
            return "DateStyle";
        return name == "timezone" ? "TimeZone" : name;
    }

    std::string unquote(std::string value)
    {
        while (!value.empty() && std::isspace(static_cast<unsigned char>(value.back())) != 0)
            value.pop_back();
        if (value.size() < 2 || value.front() != '\'' || value.back() != '\'')
            return value;
        std::string plain;
        for (std::size_t i = 1; i + 1 < value.size(); ++i) {
            plain.push_back(value[i]);
            if (value[i] == '\'' && value[i + 1] == '\'')
                ++i;
        }
        return plain;
    }

    pgwire::ErrorFields unknownParameter(const std::string& name)
    {
        return pgwire::makeError("ERROR", "42704", "unrecognized configuration parameter \"" + name + "\"");
    }

}

SessionParameters::SessionParameters()
    : values { { "application_name", "" }, { "client_encoding", "UTF8" }, { "client_min_messages", "notice" }, { "datestyle", "ISO, MDY" }, { "default_transaction_read_only", "off" },
        { "extra_float_digits", "1" }, { "idle_in_transaction_session_timeout", "0" }, { "integer_datetimes", "on" }, { "lock_timeout", "0" }, { "search_path", "\"$user\", public" },
        { "server_encoding", "UTF8" }, { "server_version", "15.0" }, { "standard_conforming_strings", "on" }, { "statement_timeout", "0" }, { "timezone", "UTC" }, { "transaction_isolation", "serializable" } }
    , first(this->values)
{
}

void SessionParameters::preset(const std::string& name, const std::string& value)
{
    this->values[toLower(name)] = value;
    this->first[toLower(name)] = value;
}

std::string SessionParameters::find(const std::string& name) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? std::string() : found->second;
}

std::optional<tl::expected<SessionParameters::Change, pgwire::ErrorFields>> SessionParameters::run(std::string_view text)
{
    const auto words = splitWords(text.substr(0, std::min<std::size_t>(text.size(), 4096)));
    if (words.size() < 2)
        return std::nullopt;
    const auto name = toLower(words[1]);
    if (words[0] == "SET")
        return this->set(text);
    if (words[0] == "RESET") {
        if (name == "all")
            this->resetAll();
        else if (const auto initial = this->first.find(name); initial != this->first.end())
            this->values[name] = initial->second;
        else
            this->values.erase(name);
        return Change { .tag = "RESET" };
    }
    if (words[0] != "SHOW")
        return std::nullopt;
    if (!this->values.contains(name))
        return tl::unexpected(unknownParameter(name));
    return Change { .tag = "SHOW", .column = properName(name), .shown = this->values.at(name) };
}

tl::expected<SessionParameters::Change, pgwire::ErrorFields> SessionParameters::set(std::string_view text)
{
    static const std::regex pattern(R"(^\s*SET\s+(SESSION\s+|LOCAL\s+)?([A-Za-z_][\w.]*)\s*(?:=|\s+TO\s+|\s+)\s*([\s\S]+?)\s*;?\s*$)", std::regex::icase);
    const std::string whole(text);
    std::smatch match;
    if (!std::regex_match(whole, match, pattern))
        return tl::unexpected(pgwire::makeError("ERROR", "42601", "syntax error in SET"));
    const auto name = toLower(match[2].str());
    if (name == "transaction" || name == "characteristics")
        return Change { .tag = "SET" };
    const bool isCustom = name.find('.') != std::string::npos;
    if (!isCustom && !this->values.contains(name))
        return tl::unexpected(unknownParameter(name));
    const bool isLocal = toLower(match[1].str()).starts_with("local");
    if (isLocal && !this->beforeBlock)
        return Change { .tag = "SET" };
    if (isLocal)
        this->locals.try_emplace(name, this->find(name));
    const auto value = unquote(match[3].str());
    this->values[name] = toLower(value) == "default" ? this->first[name] : value;
    return Change { .tag = "SET" };
}

void SessionParameters::beginBlock()
{
    if (!this->beforeBlock)
        this->beforeBlock = this->values;
}

void SessionParameters::endBlock(bool committed)
{
    if (!this->beforeBlock)
        return;
    if (!committed)
        this->values = std::move(*this->beforeBlock);
    else
        for (const auto& [name, value] : this->locals)
            this->values[name] = value;
    this->locals.clear();
    this->beforeBlock.reset();
}

void SessionParameters::resetAll()
{
    this->values = this->first;
}

std::map<std::string, std::string> SessionParameters::reported() const
{
    std::map<std::string, std::string> told;
    for (const auto name : reportedNames)
        told[properName(std::string(name))] = this->find(std::string(name));
    return told;
}

}
