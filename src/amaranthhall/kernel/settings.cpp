#include "amaranthhall/kernel/settings.hpp"

#include "amaranthhall/kernel/duration_text.hpp"
#include "amaranthhall/kernel/nearest_name.hpp"

#include <fstream>
#include <functional>
#include <span>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace amaranthhall::kernel {

namespace {

    /// Thrown by the readers below and turned into a result by parseSettings().
    struct Failure {
        SettingsError error;
    };

    [[noreturn]] void fail(const YAML::Node& node, std::string_view key, std::string problem)
    {
        throw Failure { { node.Mark().line + 1, std::string(key), std::move(problem) } };
    }

    struct Key {
        std::string_view name;
        std::function<void(const YAML::Node&, const std::string& path)> read;
    };

    void readMap(const YAML::Node& node, const std::string& path, std::span<const Key> keys)
    {
        if (!node.IsMap())
            fail(node, path, "a map is expected");
        for (const auto& entry : node) {
            const auto name = entry.first.as<std::string>();
            const auto full = path.empty() ? name : path + "." + name;
            bool known = false;
            std::vector<std::string_view> names;
            for (const auto& key : keys) {
                names.push_back(key.name);
                if (key.name != name)
                    continue;
                key.read(entry.second, full);
                known = true;
            }
            if (!known)
                fail(entry.first, full, "unknown key; did you mean '" + std::string(nearestName(name, names)) + "'?");
        }
    }

    std::string readText(const YAML::Node& node, const std::string& path)
    {
        if (!node.IsScalar())
            fail(node, path, "a text is expected");
        return node.as<std::string>();
    }

    Address readAddress(const YAML::Node& node, const std::string& path)
    {
        const auto address = parseAddress(readText(node, path));
        if (!address)
            fail(node, path, "an address such as 127.0.0.1:5432 is expected");
        return *address;
    }

    std::chrono::milliseconds readDuration(const YAML::Node& node, const std::string& path)
    {
        const auto duration = parseDuration(readText(node, path));
        if (!duration)
            fail(node, path, "a duration with its unit is expected, such as 250ms or 5s");
        return *duration;
    }

    bool readBool(const YAML::Node& node, const std::string& path)
    {
        const auto text = readText(node, path);
        if (text != "true" && text != "false")
            fail(node, path, "true or false is expected");
        return text == "true";
    }

    std::string readChoice(const YAML::Node& node, const std::string& path, std::span<const std::string_view> choices)
    {
        const auto text = readText(node, path);
        for (const auto choice : choices) {
            if (choice == text)
                return text;
        }
        fail(node, path, "unknown value; did you mean '" + std::string(nearestName(text, choices)) + "'?");
    }

    Key textKey(std::string_view name, std::string& target)
    {
        return { name, [&target](const auto& node, const auto& path) { target = readText(node, path); } };
    }

    Key addressKey(std::string_view name, Address& target)
    {
        return { name, [&target](const auto& node, const auto& path) { target = readAddress(node, path); } };
    }

    Key mapKey(std::string_view name, std::vector<Key> keys)
    {
        return { name, [keys = std::move(keys)](const auto& node, const auto& path) { readMap(node, path, keys); } };
    }

    CallerUser readUser(const YAML::Node& node, const std::string& path)
    {
        CallerUser user;
        readMap(node, path, std::vector<Key> { textKey("name", user.name), textKey("secret", user.secret) });
        if (user.name.empty())
            fail(node, path + ".name", "a name is required");
        if (!user.secret.starts_with("SCRAM-SHA-256$"))
            fail(node, path + ".secret", "a salted hash that begins with SCRAM-SHA-256$ is required");
        return user;
    }

    template <typename Item, typename Read>
    Key listKey(std::string_view name, std::vector<Item>& target, Read read)
    {
        return { name, [&target, read](const YAML::Node& node, const std::string& path) {
                    if (!node.IsSequence())
                        fail(node, path, "a list is expected");
                    for (const auto& item : node)
                        target.push_back(read(item, path));
                } };
    }

    constexpr std::array<std::string_view, 4> logLevels { "debug", "info", "warning", "error" };
    constexpr std::array<std::string_view, 6> tlsModes { "disable", "allow", "prefer", "require", "verify-ca", "verify-full" };
    constexpr std::size_t leastKeyLength = 16;

    Key levelKey(Settings& settings)
    {
        return { "level", [&settings](const auto& node, const auto& path) { settings.logLevel = readChoice(node, path, logLevels); } };
    }

    Key boolKey(std::string_view name, bool& target)
    {
        return { name, [&target](const auto& node, const auto& path) { target = readBool(node, path); } };
    }

    Key callersKey(CallerSettings& callers)
    {
        return mapKey("callers", {
                                     boolKey("trust_loopback", callers.trustLoopback),
                                     listKey("users", callers.users, readUser),
                                     textKey("tls_certificate", callers.tlsCertificate),
                                     textKey("tls_key", callers.tlsKey),
                                 });
    }

    Key upstreamsKey(UpstreamSettings& upstreams)
    {
        return mapKey("upstreams", {
                                       textKey("user", upstreams.user),
                                       textKey("password", upstreams.password),
                                       { "tls", [&upstreams](const auto& node, const auto& path) { upstreams.tlsMode = readChoice(node, path, tlsModes); } },
                                       textKey("tls_root_certificate", upstreams.tlsRootCertificate),
                                   });
    }

    std::string readPeerKey(const YAML::Node& node, const std::string& path)
    {
        auto key = readText(node, path);
        if (key.size() < leastKeyLength)
            fail(node, path, "a key of at least 16 characters is required");
        return key;
    }

    std::vector<Key> settingsKeys(Settings& settings)
    {
        return {
            mapKey("vm", { textKey("id", settings.vm.id), textKey("region", settings.vm.region), textKey("zone", settings.vm.zone) }),
            mapKey("listen", { addressKey("caller", settings.listen.caller), addressKey("peer", settings.listen.peer), addressKey("admin", settings.listen.admin) }),
            mapKey("platform", { addressKey("address", settings.platform) }),
            mapKey("peers", { listKey("keys", settings.peerKeys, readPeerKey) }),
            upstreamsKey(settings.upstreams),
            callersKey(settings.callers),
            mapKey("log", { levelKey(settings), boolKey("statements", settings.logStatements) }),
            mapKey("traces", { textKey("file", settings.traceFile) }),
            mapKey("drain", { { "limit", [&settings](const auto& node, const auto& path) { settings.drainLimit = readDuration(node, path); } } }),
        };
    }

    void demand(bool present, std::string_view key)
    {
        if (!present)
            throw Failure { { 0, std::string(key), "is required" } };
    }

    void checkWhole(const Settings& settings)
    {
        demand(!settings.vm.id.empty(), "vm.id");
        demand(!settings.vm.region.empty(), "vm.region");
        demand(!settings.vm.zone.empty(), "vm.zone");
        demand(!settings.listen.caller.host.empty(), "listen.caller");
        demand(!settings.listen.peer.host.empty(), "listen.peer");
        demand(!settings.listen.admin.host.empty(), "listen.admin");
        demand(!settings.platform.host.empty(), "platform.address");
        demand(!settings.peerKeys.empty(), "peers.keys");
        demand(!settings.upstreams.user.empty(), "upstreams.user");
        demand(settings.callers.tlsCertificate.empty() == settings.callers.tlsKey.empty(), "callers.tls_key");
    }

}

std::vector<std::string_view> findRestartKeys(const Settings& before, const Settings& after)
{
    std::vector<std::string_view> keys;
    const auto compare = [&](std::string_view key, bool isSame) {
        if (!isSame)
            keys.push_back(key);
    };
    compare("vm", before.vm == after.vm);
    compare("listen", before.listen == after.listen);
    compare("platform", before.platform == after.platform);
    compare("peers", before.peerKeys == after.peerKeys);
    compare("upstreams", before.upstreams == after.upstreams);
    compare("callers", before.callers == after.callers);
    compare("log.statements", before.logStatements == after.logStatements);
    compare("traces", before.traceFile == after.traceFile);
    compare("drain", before.drainLimit == after.drainLimit);
    return keys;
}

std::string formatError(std::string_view file, const SettingsError& error)
{
    std::string text(file);
    if (error.line > 0)
        text += ":" + std::to_string(error.line);
    return text + ": " + error.key + ": " + error.problem;
}

tl::expected<Settings, SettingsError> parseSettings(std::string_view yaml)
{
    try {
        Settings settings;
        readMap(YAML::Load(std::string(yaml)), "", settingsKeys(settings));
        checkWhole(settings);
        return settings;
    } catch (const Failure& failure) {
        return tl::unexpected(failure.error);
    } catch (const YAML::Exception& exception) {
        return tl::unexpected(SettingsError { exception.mark.line + 1, "", exception.msg });
    }
}

tl::expected<Settings, SettingsError> loadSettings(const std::string& file)
{
    const std::ifstream stream(file);
    if (!stream)
        return tl::unexpected(SettingsError { 0, "", "cannot be read" });
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(text.str());
}

}
