#include "amaranthhall/session/startup.hpp"

#include "amaranthhall/pgwire/fields.hpp"

#include <algorithm>

namespace amaranthhall::session {

namespace {

    constexpr std::int32_t protocolVersion = 196608;
    constexpr std::int32_t cancelCode = 80877102;
    constexpr std::int32_t sslCode = 80877103;
    constexpr std::int32_t gssCode = 80877104;

    StartupError malformed()
    {
        return { .sqlstate = "08P01", .message = "the startup message is malformed" };
    }

    // Cuts at blanks; a backslash keeps the character after it, as PostgreSQL does.
    std::vector<std::string> splitOptions(std::string_view text)
    {
        std::vector<std::string> words(1);
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '\\' && i + 1 < text.size())
                words.back().push_back(text[++i]);
            else if (text[i] != ' ')
                words.back().push_back(text[i]);
            else if (!words.back().empty())
                words.emplace_back();
        }
        if (words.back().empty())
            words.pop_back();
        return words;
    }

    bool addOptions(std::string_view text, StartupMessage& message)
    {
        const auto words = splitOptions(text);
        for (std::size_t i = 0; i < words.size(); ++i) {
            std::string word = words[i];
            if (word == "-c" && i + 1 < words.size())
                word = words[++i];
            else if (word.starts_with("--") || (word.starts_with("-c") && word.size() > 2))
                word.erase(0, 2);
            else
                return false;
            const auto equals = word.find('=');
            if (equals == std::string::npos)
                return false;
            message.parameters.emplace_back(word.substr(0, equals), word.substr(equals + 1));
        }
        return true;
    }

    bool addParameter(std::string_view name, std::string_view value, StartupMessage& message)
    {
        if (name == "user")
            message.user = value;
        else if (name == "database")
            message.database = value;
        else if (name == "options")
            return addOptions(value, message);
        else
            message.parameters.emplace_back(name, value);
        return true;
    }

    tl::expected<StartupMessage, StartupError> parseSession(pgwire::FieldReader& fields)
    {
        StartupMessage message;
        for (;;) {
            const auto name = fields.text();
            if (!name)
                return tl::unexpected(malformed());
            if (name->empty())
                break;
            const auto value = fields.text();
            if (!value || !addParameter(*name, *value, message))
                return tl::unexpected(malformed());
        }
        if (message.user.empty())
            return tl::unexpected(StartupError { .sqlstate = "28000", .message = "no user name is given in the startup message" });
        if (message.database.empty())
            message.database = message.user;
        return message;
    }

    std::vector<std::string> instancesOf(const table::TableImage& image, std::string_view service)
    {
        std::vector<std::string> instances;
        for (const auto& group : table::listGroups(image)) {
            if (group.service == service)
                instances.push_back(group.instance);
        }
        return instances;
    }

    std::string listNames(std::string_view service, const std::vector<std::string>& instances)
    {
        std::string names;
        for (const auto& instance : instances)
            names += (names.empty() ? "" : ", ") + std::string(service) + ":" + instance;
        return names;
    }

}

tl::expected<StartupMessage, StartupError> parseStartup(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto code = fields.int32().value_or(0);
    if (code == sslCode || code == gssCode)
        return StartupMessage { .kind = code == sslCode ? StartupKind::Ssl : StartupKind::Gss };
    if (code == cancelCode) {
        const auto process = fields.int32();
        const auto secret = fields.int32();
        if (!process || !secret)
            return tl::unexpected(malformed());
        return StartupMessage { .kind = StartupKind::Cancel, .cancel = { .process = *process, .secret = *secret } };
    }
    if (code != protocolVersion)
        return tl::unexpected(StartupError { .sqlstate = "0A000", .message = "only protocol 3.0 is supported" });
    return parseSession(fields);
}

tl::expected<group::GroupId, StartupError> resolveGroup(const table::TableImage& image, std::string_view database)
{
    const auto colon = database.find(':');
    const std::string service(database.substr(0, colon));
    const auto instances = instancesOf(image, service);
    if (!table::findService(image, service) || instances.empty())
        return tl::unexpected(StartupError { .sqlstate = "3D000", .message = "the service \"" + service + "\" does not exist" });
    if (colon == std::string_view::npos && instances.size() == 1)
        return group::GroupId { .service = service, .instance = instances.front() };
    const auto hint = "The instances are " + listNames(service, instances) + ".";
    if (colon == std::string_view::npos)
        return tl::unexpected(StartupError { .sqlstate = "3D000", .message = "the service \"" + service + "\" has several instances and none is named", .hint = hint });
    const std::string instance(database.substr(colon + 1));
    if (std::find(instances.begin(), instances.end(), instance) == instances.end())
        return tl::unexpected(StartupError { .sqlstate = "3D000", .message = "the service \"" + service + "\" has no instance \"" + instance + "\"", .hint = hint });
    return group::GroupId { .service = service, .instance = instance };
}

}
