#include "amaranthhall/session/session_parameters.hpp"

#include "amaranthhall/kernel/duration_text.hpp"
#include "amaranthhall/session/session_token.hpp"

namespace amaranthhall::session {

namespace {

    constexpr std::string_view prefix = "amaranthhall.";
    constexpr std::string_view sessionName = "amaranthhall.session";
    constexpr std::string_view maxStaleName = "amaranthhall.max_stale";
    constexpr std::string_view requestKeyName = "amaranthhall.request_key";
    constexpr std::size_t maximumKeyBytes = 200;

    pgwire::ErrorFields invalidValue(const std::string& message)
    {
        return pgwire::makeError("ERROR", "22023", message);
    }

    std::optional<pgwire::ErrorFields> setSession(SessionState& state, const kernel::Settings& settings, const std::string& value)
    {
        const auto token = decodeToken(value, settings.peerKeys);
        if (!token)
            return invalidValue("the session token is not signed by this system");
        if (token->group != state.group)
            return invalidValue("the session token is of another service or instance");
        raiseSeen(state, token->point);
        return std::nullopt;
    }

    std::optional<pgwire::ErrorFields> setMaxStale(SessionState& state, const std::string& value)
    {
        const auto age = kernel::parseDuration(value);
        if (!age && value != "0")
            return invalidValue("amaranthhall.max_stale needs a duration such as 500ms or 5s");
        state.maxStale = age.value_or(std::chrono::milliseconds(0));
        return std::nullopt;
    }

    std::optional<pgwire::ErrorFields> setRequestKey(SessionState& state, const std::string& value)
    {
        if (value.size() > maximumKeyBytes)
            return invalidValue("a request key has at most 200 bytes");
        if (state.transaction != pgwire::TransactionStatus::Idle)
            return pgwire::makeError("ERROR", "25001", "a request key is set before the transaction begins");
        state.key = { .key = value };
        return std::nullopt;
    }

}

bool isOwnParameter(std::string_view name) noexcept
{
    return name.starts_with(prefix);
}

std::optional<pgwire::ErrorFields> setOwnParameter(SessionState& state, const kernel::Settings& settings, const statement::Assignment& assignment)
{
    if (assignment.name == requestKeyName)
        return setRequestKey(state, assignment.isReset ? std::string() : assignment.value);
    if (assignment.name == maxStaleName && assignment.isReset) {
        state.maxStale.reset();
        return std::nullopt;
    }
    if (assignment.name == maxStaleName)
        return setMaxStale(state, assignment.value);
    if (assignment.name == sessionName)
        return assignment.isReset ? std::nullopt : setSession(state, settings, assignment.value);
    return pgwire::makeError("ERROR", "42704", "unrecognized configuration parameter \"" + assignment.name + "\"");
}

std::string showOwnParameter(const SessionState& state, const kernel::Settings& settings, std::string_view name)
{
    if (name == requestKeyName)
        return state.key.key;
    if (name == maxStaleName)
        return state.maxStale ? kernel::formatDuration(*state.maxStale) : "";
    if (name == sessionName && state.seen && !settings.peerKeys.empty())
        return encodeToken({ .group = state.group, .point = *state.seen }, settings.peerKeys.front());
    return {};
}

}
