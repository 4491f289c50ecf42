#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/operation_limiter.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/kernel/datagram_socket.hpp"
#include "amaranthhall/quota/electorate.hpp"
#include "amaranthhall/quota/io/quota_holder.hpp"
#include "amaranthhall/quota/io/quota_owner.hpp"
#include "amaranthhall/telemetry/zone_traffic.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::quota {

/**
 * @brief Limits the operations of organisations over the whole fleet.
 *
 * The bucket of each organisation is kept by one daemon, its owner, chosen by rendezvous hashing. The daemons that run the organisation's operations ask the
 * owner for tokens, ahead of their demand where it is high. If the owner changes, its bucket is handed over where possible; what can't be exact is paid from
 * the room that the bound leaves (see Room).
 */
class QuotaService final : public engine::OperationLimiter, private Transport {
public:
    struct Options {
        std::string vm;
        kernel::Address listen; ///< UDP; all daemons use the same port.
        double cores { 1 }; ///< Of this VM.
        WindowBound bound;
        telemetry::ZoneTraffic* traffic { nullptr }; ///< Counts the bytes of the messages; may be null.
    };

    QuotaService(kernel::Loop& loop, const catalog::Catalog& catalog, const gossip::PeerRegistry& peers, Options options, telemetry::Metrics& metrics);

    void admit(const engine::Operation& operation, Done done) override { this->holder.admit(operation, std::move(done)); }

    /// @brief Hands the buckets of this daemon over, because it stops.
    void stop();

private:
    [[nodiscard]] const std::string& self() const noexcept override { return this->options.vm; }
    [[nodiscard]] const std::vector<std::string>& ranking(std::string_view organisation) override;
    [[nodiscard]] std::optional<kernel::Address> addressOf(std::string_view vm) const override;
    [[nodiscard]] const std::vector<std::string>& voters(std::string_view organisation) override;
    [[nodiscard]] std::size_t daemons() const noexcept override { return this->electorate.size() + 1; }
    void send(const kernel::Address& to, const std::string& organisation, Content content) override;
    [[nodiscard]] Time now() const noexcept override;

    [[nodiscard]] std::vector<std::string> rank(std::string_view organisation) const;
    void updateElectorate();
    void receive(std::string_view bytes);
    void handle(const Message& message);
    void tick();

    kernel::Loop& loop;
    const gossip::PeerRegistry& peers;
    Options options;
    bool isStopping { false };
    std::uint64_t rankedMembership { 0 }; ///< Membership version for which the rankings hold.
    std::map<std::string, std::vector<std::string>, std::less<>> rankings; ///< By organisation.
    Electorate electorate;
    std::uint64_t electorateMembership { 0 }; ///< Membership version that the electorate has seen.
    std::uint64_t rankedElectorate { 0 }; ///< Version of the electorate for which the voters hold.
    std::map<std::string, std::vector<std::string>, std::less<>> voterLists; ///< By organisation.
    QuotaOwner owner;
    QuotaHolder holder;
    kernel::DatagramSocket socket;
    Time lastTickAt;
    kernel::Registration ticker;
    std::shared_ptr<int> alive { std::make_shared<int>(0) };
};

}
