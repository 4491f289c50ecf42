#pragma once

#include "amaranthhall/http/client.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/platform/platform.hpp"
#include "amaranthhall/platform/read_budget.hpp"

namespace amaranthhall::platform {

/// @brief The platform over HTTP and JSON.
class HttpPlatform final : public kernel::Service, public Platform {
public:
    /**
     * @brief Builds the client; it connects at the first request.
     * @param address Address of the platform.
     */
    HttpPlatform(kernel::Loop& loop, kernel::Registry& registry, kernel::Address address);

    [[nodiscard]] std::string_view name() const noexcept override { return "platform"; }
    void start() override;

    void readRow(std::string_view key, std::function<void(PlatformResult<Row>)> done) override;
    void readRows(std::string_view prefix, std::function<void(PlatformResult<std::vector<Row>>)> done) override;
    void commit(const Transaction& transaction, std::function<void(PlatformResult<std::vector<Row>>)> done) override;
    void readObject(std::string_view name, std::function<void(PlatformResult<Object>)> done) override;
    void writeObject(std::string_view name, std::string body, std::string_view expectedEtag, std::function<void(PlatformResult<std::string>)> done) override;
    void listVms(std::function<void(PlatformResult<std::vector<VmEntry>>)> done) override;

private:
    using Answered = std::function<void(PlatformResult<http::Response>)>;

    void sendRead(std::string path, std::string query, Answered answered);
    void sendWrite(http::Request request, Answered answered);
    void count(std::string_view kind, const PlatformResult<http::Response>& result);

    kernel::Loop& loop;
    kernel::Registry& registry;
    kernel::Address address;
    http::Client client;
    ReadBudget budget;
};

}
