#include "amaranthhall/kernel/settings_reader.hpp"

#include "amaranthhall/kernel/duration_text.hpp"
#include "amaranthhall/kernel/nearest_name.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

namespace amaranthhall::kernel {

std::string formatError(std::string_view file, const SettingsError& error)
{
    std::string text(file);
    if (error.line > 0)
        text.append(":").append(std::to_string(error.line));
    text.append(": ").append(error.key).append(": ").append(error.problem);
    return text;
}

namespace settings_reader {

    namespace {

        std::string suggestion(std::string_view problem, std::string_view nearest)
        {
            std::string text(problem);
            text.append("; did you mean '").append(nearest).append("'?");
            return text;
        }

    }

    void fail(const YAML::Node& node, std::string_view key, std::string problem)
    {
        throw Failure { { node.Mark().line + 1, std::string(key), std::move(problem) } };
    }

    void readMap(const YAML::Node& node, const std::string& path, std::span<const Key> keys)
    {
        if (!node.IsMap())
            fail(node, path, "a map is expected");
        for (const auto& entry : node) {
            const auto name = entry.first.as<std::string>();
            auto full = path;
            if (!full.empty())
                full.append(".");
            full.append(name);
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
                fail(entry.first, full, suggestion("unknown key", nearestName(name, names)));
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

    double readPositive(const YAML::Node& node, const std::string& path)
    {
        const auto text = readText(node, path);
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool isWhole = error == std::errc() && end == text.data() + text.size();
        if (!isWhole || !(number > 0))
            fail(node, path, "a number above 0 is expected");
        return number;
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
        fail(node, path, suggestion("unknown value", nearestName(text, choices)));
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

    Key positiveKey(std::string_view name, double& target)
    {
        return { name, [&target](const auto& node, const auto& path) { target = readPositive(node, path); } };
    }

    Key nonNegativeKey(std::string_view name, double& target)
    {
        return { name, [&target](const auto& node, const auto& path) {
                    double value = 0;
                    if (!YAML::convert<double>::decode(node, value) || value < 0)
                        fail(node, path, "a number of 0 or more is expected");
                    target = value;
                } };
    }

    Key boolKey(std::string_view name, bool& target)
    {
        return { name, [&target](const auto& node, const auto& path) { target = readBool(node, path); } };
    }

    void demand(bool present, std::string_view key)
    {
        if (!present)
            throw Failure { { 0, std::string(key), "is required" } };
    }

    std::optional<SettingsError> read(std::string_view yaml, std::span<const Key> keys, const std::function<void()>& check)
    {
        try {
            readMap(YAML::Load(std::string(yaml)), "", keys);
            check();
            return std::nullopt;
        } catch (const Failure& failure) {
            return failure.error;
        } catch (const YAML::Exception& exception) {
            return SettingsError { exception.mark.line + 1, "", exception.msg };
        }
    }

    tl::expected<std::string, SettingsError> readFile(const std::string& file)
    {
        const std::ifstream stream(file);
        if (!stream)
            return tl::unexpected(SettingsError { 0, "", "cannot be read" });
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

}

}
