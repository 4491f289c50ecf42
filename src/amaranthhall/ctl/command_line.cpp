#include "amaranthhall/ctl/command_line.hpp"

#include "amaranthhall/ctl/commands.hpp"
#include "amaranthhall/kernel/nearest_name.hpp"

#include <cstdlib>

namespace amaranthhall::ctl {

namespace {

    namespace options = boost::program_options;

    constexpr auto daemonVariable = "AMARANTHCTL_DAEMON";

    options::options_description describeOptions()
    {
        options::options_description description("Options");
        auto add = description.add_options();
        add("help,h", "explains the command and shows an example");
        add("daemon,d", options::value<std::string>(), "admin addresses of daemons, separated by commas; the first that answers is used. Without it, $AMARANTHCTL_DAEMON");
        add("json", options::bool_switch(), "writes JSON for scripts");
        add("format", options::value<std::string>()->default_value("table"), "for `table show`: table, csv or json");
        add("expect-version", options::value<std::uint64_t>(), "for `table apply`: the version that you have seen; another one in force is a conflict");
        add("edit-id", options::value<std::string>(), "name of an edit; asking again with the same one is safe");
        add("limit", options::value<std::uint32_t>()->default_value(10), "for `table history`: how many versions");
        return description;
    }

    void showHelp(std::ostream& output)
    {
        output << "amaranthctl shows what the daemons believe and edits the operators' table; there is no other way to steer.\n\n"
                  "  amaranthctl -d 10.0.0.5:9187 table show --format csv > table.csv\n"
                  "  amaranthctl -d 10.0.0.5:9187 table diff table.csv\n"
                  "  amaranthctl -d 10.0.0.5:9187 table apply table.csv --expect-version 7\n"
                  "  amaranthctl -d 10.0.0.5:9187 table set upstream coach-ledger/1/a weight=50\n\nCommands\n";
        for (const auto& command : listCommands()) {
            const auto title = std::string(command.name) + (command.arguments.empty() ? "" : " ") + std::string(command.arguments);
            output << "  " << title << std::string(title.size() < 38 ? 38 - title.size() : 1, ' ') << command.summary << "\n";
        }
        output << "\n"
               << describeOptions()
               << "\nExit codes: 0 done (an edit is in force everywhere), 1 refused (nothing was changed), 2 wrong command line,\n"
                  "3 unknown (ask again with the same --edit-id), 4 no daemon answered, 5 daemons or tables differ.\n";
    }

    const Command* findCommand(const std::vector<std::string>& words)
    {
        const auto one = words.empty() ? "" : words.front();
        const auto two = words.size() < 2 ? one : one + " " + words[1];
        for (const auto& command : listCommands()) {
            if (command.name == one || command.name == two)
                return &command;
        }
        return nullptr;
    }

    std::size_t countWords(std::string_view name)
    {
        return name.find(' ') == std::string_view::npos ? 1 : 2;
    }

    ExitCode rejectCommand(const std::vector<std::string>& words, std::ostream& errors)
    {
        std::vector<std::string_view> names;
        for (const auto& command : listCommands())
            names.push_back(command.name);
        const auto given = words.front() + (words.size() > 1 ? " " + words[1] : "");
        errors << "amaranthctl: there is no command '" << given << "'; did you mean '" << kernel::nearestName(given, names) << "'? See amaranthctl --help\n";
        return ExitCode::Usage;
    }

    std::string readDaemonOption(const options::variables_map& values)
    {
        if (values.count("daemon") != 0)
            return values["daemon"].as<std::string>();
        const auto* fromEnvironment = std::getenv(daemonVariable); // NOLINT: this program has one thread
        return fromEnvironment == nullptr ? "" : fromEnvironment;
    }

    ExitCode invoke(const Command& command, std::vector<std::string> words, const options::variables_map& values, std::ostream& output, std::ostream& errors)
    {
        if (values.count("help") != 0) {
            output << "amaranthctl " << command.name << " " << command.arguments << "\n\n"
                   << command.help << "\n";
            return ExitCode::Done;
        }
        const auto daemons = parseDaemons(readDaemonOption(values));
        if (!daemons || (daemons->empty() && command.needsDaemon)) {
            errors << "amaranthctl: " << (daemons ? "name a daemon by --daemon HOST:PORT or by $AMARANTHCTL_DAEMON; the address is `listen.admin` of its settings" : daemons.error()) << "\n";
            return ExitCode::Usage;
        }
        words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(countWords(command.name)));
        Invocation invocation { .words = std::move(words), .options = values, .daemons = DaemonClient(*daemons), .json = values["json"].as<bool>(), .output = output, .errors = errors };
        return command.run(invocation);
    }

}

const std::vector<Command>& listCommands()
{
    static const std::vector<Command> commands {
        { "table show", "", "shows the table in force", "Shows the table in force. As CSV it opens in a spreadsheet and goes back by `table apply`.\n\n  amaranthctl table show --format csv > table.csv", true, showTable },
        { "table apply", "FILE --expect-version N", "puts a whole table in force", "Checks FILE (.csv or .json) whole and puts it in force on every daemon, or on none. The version that\n`table show` gave is demanded, so that no edit of somebody else is lost. Ends with exactly one of: in force\neverywhere, refused, unknown. After unknown, the same command with the --edit-id that it tells is safe.\n\n  amaranthctl table apply table.csv --expect-version 7", true, applyTable },
        { "table set", "KIND NAME COLUMN=VALUE...", "changes cells of one row", "Changes cells of one row of the table in force. KIND is service or upstream.\n\n  amaranthctl table set service coach-ledger max_stale=5s\n  amaranthctl table set upstream coach-ledger/1/a weight=50 connection_limit=20", true, setCells },
        { "table diff", "FILE", "compares a file with the table in force", "Lists what `table apply FILE` would change; exits with 5 if there is anything.\n\n  amaranthctl table diff table.csv", true, diffTable },
        { "table history", "", "lists versions and what each changed", "Lists the latest versions, the newest first, who ran each edit, and what it changed.\n\n  amaranthctl table history --limit 3", true, showHistory },
        { "status", "", "tells how each daemon is", "Asks every daemon and tells who is not ready and why, and where table versions differ. Exits with 5 if\nanything needs attention.\n\n  amaranthctl status", true, showStatus },
        { "instances", "", "lists the instances of each service", "Lists for each instance of a service its upstreams, and who is primary as the daemons believe.\n\n  amaranthctl instances", true, showInstances },
        { "groups", "", "compares what daemons believe of the groups", "Asks every daemon for terms, primaries and positions, and tells where they differ.\n\n  amaranthctl groups --json", true, showGroups },
        { "shares", "", "compares connection shares of the daemons", "Asks every daemon for its connection shares.\n\n  amaranthctl shares", true, showShares },
        { "completion bash", "", "writes a completion script", "Writes a script that completes commands and options in bash.\n\n  source <(amaranthctl completion bash)", false, showCompletion },
    };
    return commands;
}

ExitCode runCommandLine(const std::vector<std::string>& words, std::ostream& output, std::ostream& errors)
{
    auto description = describeOptions();
    options::options_description all;
    all.add(description);
    all.add_options()("words", options::value<std::vector<std::string>>()->default_value({}, ""));
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(words).options(all).positional(positions).run(), values);
    } catch (const options::error& error) {
        errors << "amaranthctl: " << error.what() << "; see amaranthctl --help\n";
        return ExitCode::Usage;
    }
    auto given = values["words"].as<std::vector<std::string>>();
    if (given.empty()) {
        showHelp(values.count("help") != 0 ? output : errors);
        return values.count("help") != 0 ? ExitCode::Done : ExitCode::Usage;
    }
    const auto* command = findCommand(given);
    if (command == nullptr)
        return rejectCommand(given, errors);
    return invoke(*command, std::move(given), values, output, errors);
}

std::string bashCompletion()
{
    std::string first;
    std::string second;
    for (const auto& command : listCommands()) {
        const auto space = command.name.find(' ');
        const auto word = std::string(command.name.substr(0, space)) + " ";
        if (first.find(word) == std::string::npos)
            first += word;
        if (command.name.starts_with("table "))
            second += std::string(command.name.substr(space + 1)) + " ";
    }
    return "_amaranthctl() {\n"
           "    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}\n"
           "    case $previous in\n"
           "        table) COMPREPLY=($(compgen -W '"
        + second + "' -- \"$current\")) ;;\n"
                   "        set) COMPREPLY=($(compgen -W 'service upstream' -- \"$current\")) ;;\n"
                   "        apply | diff) COMPREPLY=($(compgen -f -- \"$current\")) ;;\n"
                   "        completion) COMPREPLY=($(compgen -W 'bash' -- \"$current\")) ;;\n"
                   "        --format) COMPREPLY=($(compgen -W 'table csv json' -- \"$current\")) ;;\n"
                   "        *) COMPREPLY=($(compgen -W '"
        + first + "--daemon --json --format --expect-version --edit-id --limit --help' -- \"$current\")) ;;\n"
                  "    esac\n"
                  "}\n"
                  "complete -o filenames -F _amaranthctl amaranthctl\n";
}

}
