#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/membership/member_source.hpp"
#include "amaranthhall/peer/peer_network.hpp"
#include "amaranthhall/platform/platform.hpp"
#include "amaranthhall/share/io/connection_release.hpp"
#include "amaranthhall/share/share_node.hpp"
#include "amaranthhall/share/share_source.hpp"
#include "amaranthhall/table/table_source.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranthhall::share {

/// @brief Options of ShareService.
struct ShareServiceOptions {
    std::string vm; ///< Id of this VM.
    kernel::UpstreamSettings upstreams; ///< Credentials for terminating the connections of a failed daemon.
    ShareOptions shares;
};

/// @brief Service for this daemon's connection shares. Runs a ShareNode and performs its actions on the peer network, the platform and the upstreams.
class ShareService final : public kernel::Service, public ShareSource {
public:
    ShareService(kernel::Loop& loop, kernel::Registry& registry, ShareServiceOptions options);
    ~ShareService() override;

    [[nodiscard]] std::string_view name() const noexcept override { return "shares"; }
    void start() override;
    void stop() override;

    [[nodiscard]] std::uint32_t allowance(const group::UpstreamId& id) const noexcept override;
    void reportUse(const group::UpstreamId& id, const ShareUse& use) override;
    void onChange(kernel::Observers::Callback callback) override { this->observers.add(std::move(callback)); }

    /// @brief Returns whether this daemon holds a lease and a share of each upstream. Upstreams with fewer usable connections than daemons are left out.
    [[nodiscard]] bool isReady() const noexcept;

private:
    void serveMethod(std::string_view method);
    void execute(const std::function<void(Actions&)>& update);
    void perform(const SendRequest& command);
    void perform(const SendReply& reply);
    void perform(const ReadRecord& command);
    void perform(const WriteRecord& command);
    void perform(const ListVms& command);
    void perform(const ReleaseConnections& command);
    void applyRow(std::uint64_t version, const std::string& value, Time startedAt);
    void finishRelease(const ReleaseConnections& command, bool released);
    void applyTable();
    void applyMembers();
    void publishAllowances();

    kernel::Loop& loop;
    kernel::Registry& registry;
    ShareServiceOptions options;
    peer::PeerNetwork* peers { nullptr };
    platform::Platform* platform { nullptr };
    table::TableSource* table { nullptr };
    membership::MemberSource* members { nullptr };
    telemetry::Metrics* metrics { nullptr };
    Random random;
    ShareNode node;
    std::map<std::uint64_t, std::function<void(const Response&)>> pendingReplies;
    std::uint64_t lastTicket { 0 };
    std::map<ShareCoordinator::PendingRelease, std::unique_ptr<ConnectionRelease>> releases;
    ConnectionCounts publishedAllowances;
    Epoch publishedEpoch { 0 };
    kernel::Observers observers;
    kernel::Registration timer;
    bool isPublicationPending { false };
    std::shared_ptr<bool> isRunning;
};

}
