#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/membership/failure_detector.hpp"
#include "amaranthhall/membership/member_source.hpp"
#include "amaranthhall/peer/peer_network.hpp"
#include "amaranthhall/platform/platform.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace amaranthhall::membership {

/// @brief Configuration of the membership service.
struct MemberOptions {
    kernel::VmSettings vm;
    kernel::Address admin; ///< Listening address of this daemon for calls from operators.
    DetectorOptions detector;
};

/// @brief Maintains the member set from the platform's list of VMs and by probes between daemons.
class MemberService final : public kernel::Service, public MemberSource {
public:
    MemberService(kernel::Loop& loop, kernel::Registry& registry, MemberOptions options);

    [[nodiscard]] std::string_view name() const noexcept override { return "members"; }
    void start() override;
    void drain(std::function<void()> done) override;
    void stop() override;

    [[nodiscard]] const Member& self() const noexcept override { return this->detector.self; }
    [[nodiscard]] std::span<const Member> members() const noexcept override { return this->knownMembers; }
    [[nodiscard]] Epoch epoch() const noexcept override { return this->detector.changeCount; }
    void onChange(kernel::Observers::Callback callback) override { this->observers.add(std::move(callback)); }

private:
    struct IndirectProbe;

    void probe();
    void probeIndirectly(const Member& target);
    void finishIndirectProbe(const std::shared_ptr<IndirectProbe>& indirect, bool hasAnswered);
    void relayProbe(const peer::Json& parameters, const peer::PeerNetwork::Reply& reply);
    [[nodiscard]] peer::Json encodeGossip(const Gossip& gossip) const;
    void mergeGossip(const peer::Json& message);
    [[nodiscard]] peer::Json handleProbe(const peer::Json& parameters);
    void scheduleVmListRead();
    [[nodiscard]] bool shouldReadVmList() const;
    void readVmList();
    void publishChanges();

    kernel::Loop& loop;
    kernel::Registry& registry;
    MemberOptions options;
    peer::PeerNetwork* peers { nullptr };
    platform::Platform* platform { nullptr };
    telemetry::Metrics* metrics { nullptr };
    Random random;
    Detector detector;
    std::vector<Member> knownMembers;
    Epoch publishedEpoch { 0 }; ///< Epoch of the last notification of observers.
    Time lastVmListRead;
    kernel::Observers observers;
    kernel::Registration probeTimer;
    kernel::Registration vmListTimer;
    std::shared_ptr<bool> running; ///< False before start() and after stop(); shared with callbacks that may outlive the service.
};

}
