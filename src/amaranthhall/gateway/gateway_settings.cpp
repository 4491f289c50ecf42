#include "amaranthhall/gateway/gateway_settings.hpp"

#include "amaranthhall/kernel/settings_reader.hpp"

#include <array>

namespace amaranthhall::gateway {

namespace {

    using namespace kernel::settings_reader;

    constexpr std::array<std::string_view, 4> logLevels { "debug", "info", "warning", "error" };

    Key durationKey(std::string_view name, std::chrono::milliseconds& target)
    {
        return { name, [&target](const auto& node, const auto& path) { target = readDuration(node, path); } };
    }

    /// Returns a key whose value may be left empty, for the default.
    Key optionalBoolKey(std::string_view name, bool& target)
    {
        return { name, [&target](const auto& node, const auto& path) { target = node.IsNull() ? target : readBool(node, path); } };
    }

    std::vector<Key> settingsKeys(GatewaySettings& settings)
    {
        return {
            mapKey("vm", { textKey("id", settings.vm), textKey("zone", settings.zone), positiveKey("cores", settings.cores), positiveKey("memory", settings.memoryMegabytes), positiveKey("descriptors", settings.descriptors) }),
            mapKey("listen", { addressKey("callers", settings.callers), addressKey("ready", settings.ready), addressKey("peers", settings.peers), addressKey("relay", settings.relay), addressKey("metrics", settings.metrics) }),
            listKey("seeds", settings.seeds, readAddress),
            mapKey("platform", { addressKey("store", settings.store), addressKey("orders", settings.promotionEndpoint), optionalBoolKey("checks_fences", settings.checksFences) }),
            mapKey("drain", { durationKey("daemon", settings.drainLimit), durationKey("upstream", settings.upstreamDrainLimit) }),
            mapKey("configuration", { durationKey("limit", settings.configurationLimit) }),
            mapKey("limits", { durationKey("window", settings.quotaWindow), nonNegativeKey("excess", settings.quotaExcess), nonNegativeKey("slack", settings.quotaSlack) }),
            mapKey("zones", { nonNegativeKey("byte_price", settings.bytePrice) }),
            mapKey("log", { { "level", [&settings](const auto& node, const auto& path) { settings.logLevel = readChoice(node, path, logLevels); } } }),
        };
    }

    void checkRequired(const GatewaySettings& settings)
    {
        demand(!settings.vm.empty(), "vm.id");
        demand(!settings.zone.empty(), "vm.zone");
        demand(!settings.callers.host.empty(), "listen.callers");
        demand(!settings.ready.host.empty(), "listen.ready");
        demand(!settings.peers.host.empty(), "listen.peers");
        demand(!settings.relay.host.empty(), "listen.relay");
        demand(!settings.metrics.host.empty(), "listen.metrics");
        demand(!settings.store.host.empty(), "platform.store");
        demand(!settings.promotionEndpoint.host.empty(), "platform.orders");
    }

}

tl::expected<GatewaySettings, kernel::SettingsError> parseGatewaySettings(std::string_view yaml)
{
    GatewaySettings settings;
    const auto error = read(yaml, settingsKeys(settings), [&settings] { checkRequired(settings); });
    if (error)
        return tl::unexpected(*error);
    return settings;
}

tl::expected<GatewaySettings, kernel::SettingsError> loadGatewaySettings(const std::string& file)
{
    const auto text = readFile(file);
    if (!text)
        return tl::unexpected(text.error());
    return parseGatewaySettings(*text);
}

}
