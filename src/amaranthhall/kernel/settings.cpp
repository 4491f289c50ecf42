#include "amaranthhall/kernel/settings.hpp"

#include "amaranthhall/kernel/settings_reader.hpp"

#include <array>

namespace amaranthhall::kernel {

namespace {

    using namespace settings_reader;

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

    constexpr std::array<std::string_view, 4> logLevels { "debug", "info", "warning", "error" };
    constexpr std::array<std::string_view, 6> tlsModes { "disable", "allow", "prefer", "require", "verify-ca", "verify-full" };
    constexpr std::size_t leastKeyLength = 16;

    Key levelKey(Settings& settings)
    {
        return { "level", [&settings](const auto& node, const auto& path) { settings.logLevel = readChoice(node, path, logLevels); } };
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

tl::expected<Settings, SettingsError> parseSettings(std::string_view yaml)
{
    Settings settings;
    const auto error = settings_reader::read(yaml, settingsKeys(settings), [&settings] { checkWhole(settings); });
    if (error)
        return tl::unexpected(*error);
    return settings;
}

tl::expected<Settings, SettingsError> loadSettings(const std::string& file)
{
    const auto text = settings_reader::readFile(file);
    if (!text)
        return tl::unexpected(text.error());
    return parseSettings(*text);
}

}
