#include "amaranthhall/ctl/daemon_client.hpp"

#include "amaranthhall/kernel/loop.hpp"

#include <algorithm>
#include <optional>

namespace amaranthhall::ctl {

namespace {

    using namespace std::chrono_literals;

    constexpr auto readTimeout = 3s;
    constexpr auto editTimeout = 20s; // longer than a daemon takes to say that the outcome is unknown

    std::string explain(const kernel::Address& daemon, http::HttpError error)
    {
        const auto name = kernel::formatAddress(daemon);
        switch (error) {
        case http::HttpError::Unreachable:
            return "no daemon can be reached at " + name + "; is this the address `listen.admin` of its settings, and is it running?";
        case http::HttpError::Timeout:
            return "the daemon at " + name + " did not answer in time; it may be overloaded or paused";
        case http::HttpError::ConnectionLost:
            return "the daemon at " + name + " closed the connection before it answered; it may be stopping, or the address may be another service's";
        case http::HttpError::TooLarge:
            break;
        }
        return "the answer of the daemon at " + name + " is too large";
    }

    ClientResult convert(const kernel::Address& daemon, const http::HttpResult& result)
    {
        if (!result)
            return tl::make_unexpected(ClientError { .wasSent = result.error() != http::HttpError::Unreachable, .text = explain(daemon, result.error()) });
        auto body = nlohmann::json::parse(result->body, nullptr, false);
        if (body.is_discarded())
            return tl::make_unexpected(ClientError { .wasSent = true, .text = "what answers at " + kernel::formatAddress(daemon) + " with status " + std::to_string(result->status) + " is no amaranthhall daemon, or one of another version" });
        return DaemonAnswer { .daemon = daemon, .status = result->status, .body = std::move(body) };
    }

    std::vector<ClientResult> send(const std::vector<kernel::Address>& daemons, const http::Request& request, Duration timeout)
    {
        kernel::Loop loop;
        http::Client client(loop);
        std::vector<std::optional<ClientResult>> results(daemons.size());
        auto open = daemons.size();
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            client.send(daemons[i], request, timeout, [&, i](const auto& result) {
                results[i] = convert(daemons[i], result);
                if (--open == 0)
                    loop.stop();
            });
        }
        if (open > 0)
            loop.run();
        std::vector<ClientResult> answers;
        std::transform(results.begin(), results.end(), std::back_inserter(answers), [](auto& result) { return *std::move(result); });
        return answers;
    }

}

ClientResult DaemonClient::ask(std::string_view method, std::string_view path, std::string_view query, std::string body) const
{
    const http::Request request { .method = std::string(method), .path = std::string(path), .query = std::string(query), .body = std::move(body) };
    ClientResult last = tl::make_unexpected(ClientError { .text = "no daemon is given" });
    std::string texts;
    for (const auto& daemon : this->daemons) {
        last = send({ daemon }, request, method == "GET" ? Duration(readTimeout) : Duration(editTimeout)).front();
        if (last || last.error().wasSent)
            return last;
        texts += (texts.empty() ? "" : "\n") + last.error().text;
    }
    last.error().text = texts.empty() ? last.error().text : texts;
    return last;
}

std::vector<ClientResult> DaemonClient::askEach(const std::vector<kernel::Address>& daemons, std::string_view path)
{
    return send(daemons, { .path = std::string(path) }, readTimeout);
}

tl::expected<std::vector<kernel::Address>, std::string> parseDaemons(std::string_view text)
{
    std::vector<kernel::Address> daemons;
    while (!text.empty()) {
        const auto end = std::min(text.find(','), text.size());
        const auto address = kernel::parseAddress(text.substr(0, end));
        if (!address)
            return tl::make_unexpected("'" + std::string(text.substr(0, end)) + "' is not the address of a daemon, such as 10.0.0.5:9187");
        daemons.push_back(*address);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return daemons;
}

}
