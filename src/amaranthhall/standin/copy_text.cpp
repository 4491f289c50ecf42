#include "amaranthhall/standin/copy_text.hpp"

#include <regex>

namespace amaranthhall::standin {

namespace {

    constexpr std::string_view nullText = "\\N";

    std::string escape(std::string_view text)
    {
        std::string escaped;
        for (const char letter : text) {
            switch (letter) {
            case '\\':
                escaped += "\\\\";
                break;
            case '\t':
                escaped += "\\t";
                break;
            case '\n':
                escaped += "\\n";
                break;
            case '\r':
                escaped += "\\r";
                break;
            default:
                escaped.push_back(letter);
            }
        }
        return escaped;
    }

    char unescapeLetter(char letter)
    {
        switch (letter) {
        case 't':
            return '\t';
        case 'n':
            return '\n';
        case 'r':
            return '\r';
        default:
            return letter;
        }
    }

    LoggedParameter decodeField(std::string_view field)
    {
        if (field == nullText)
            return {};
        std::string plain;
        for (std::size_t i = 0; i < field.size(); ++i) {
            if (field[i] == '\\' && i + 1 < field.size())
                plain.push_back(unescapeLetter(field[++i]));
            else
                plain.push_back(field[i]);
        }
        return { .value = std::move(plain) };
    }

}

std::optional<CopyCommand> parseCopy(std::string_view text)
{
    static const std::regex pattern(R"(^\s*COPY\s+(?:\(([\s\S]+)\)|([\w".]+\s*(?:\([^)]*\))?))\s+(FROM\s+STDIN|TO\s+STDOUT)[\s\S]*$)", std::regex::icase);
    const std::string whole(text);
    std::smatch match;
    if (whole.size() > 65536 || !std::regex_match(whole, match, pattern))
        return std::nullopt;
    CopyCommand command { .in = std::toupper(static_cast<unsigned char>(match[3].str().front())) == 'F', .table = match[2].str() };
    if (command.in)
        return command.table.empty() ? std::nullopt : std::optional(command);
    const auto columns = command.table.find('(');
    if (command.table.empty())
        command.query = match[1].str();
    else if (columns == std::string::npos)
        command.query = "SELECT * FROM " + command.table;
    else
        command.query = "SELECT " + command.table.substr(columns + 1, command.table.rfind(')') - columns - 1) + " FROM " + command.table.substr(0, columns);
    return command;
}

std::string encodeCopyRow(std::span<const std::optional<std::string>> row)
{
    std::string line;
    for (const auto& value : row) {
        if (!line.empty() || &value != row.data())
            line.push_back('\t');
        line += value ? escape(*value) : std::string(nullText);
    }
    line.push_back('\n');
    return line;
}

std::vector<LoggedParameter> decodeCopyRow(std::string_view line)
{
    std::vector<LoggedParameter> row;
    std::size_t begin = 0;
    while (begin <= line.size()) {
        const auto tab = std::min(line.find('\t', begin), line.size());
        row.push_back(decodeField(line.substr(begin, tab - begin)));
        begin = tab + 1;
    }
    return row;
}

std::string makeCopyInsert(const CopyCommand& command, std::size_t columns)
{
    std::string text = "INSERT INTO " + command.table + " VALUES (";
    for (std::size_t i = 1; i <= columns; ++i)
        text += (i == 1 ? "$" : ", $") + std::to_string(i);
    return text + ")";
}

}
