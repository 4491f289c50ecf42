#include "amaranthhall/quota/messages.hpp"

#include "amaranthhall/packing/packing.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthhall::quota {

namespace {

    enum class MessageType : std::uint8_t {
        GrantRequest,
        Grant,
        ReleaseRequest,
        Release,
    };

    using PackedAddress = std::tuple<std::string, std::uint16_t>;
    using PackedHeader = std::tuple<std::uint8_t, std::string, PackedAddress, std::string>;
    using PackedLimit = std::tuple<double, double>;
    using PackedRate = std::tuple<double, std::int64_t>; ///< Operations a second, and for how long.
    using PackedRequest = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::uint32_t, PackedLimit, std::uint64_t, std::vector<std::string>, std::uint32_t, double>;
    using PackedGrant = std::tuple<std::uint64_t, std::uint32_t, std::int64_t, std::int64_t, std::string, PackedAddress, bool, PackedRate, double>;
    using PackedLineage = std::vector<std::tuple<std::string, std::uint64_t>>;
    using PackedRelease = std::tuple<bool, double, bool, std::uint64_t, PackedLineage, PackedRate>;
    /// Time of sending, tenure, lineage, starting, granted, continued, may start, owner, lent operations a second. Requests and replies without leases have 0 as the first.
    using PackedLease = std::tuple<std::uint64_t, std::uint64_t, PackedLineage, bool, bool, bool, bool, std::string, double>;
    /// Each message has all parts; those that its type does not use are empty.
    using PackedMessage = std::tuple<PackedHeader, PackedRequest, PackedGrant, PackedRelease, PackedLease>;

    std::int64_t toMicroseconds(Duration span)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
    }

    Duration fromMicroseconds(std::int64_t count)
    {
        constexpr std::int64_t maximum = 60'000'000; // µs; no lifetime or delay is longer
        return std::chrono::microseconds(std::clamp<std::int64_t>(count, 0, maximum));
    }

    double validRate(double perSecond)
    {
        return std::isfinite(perSecond) ? std::max(0.0, perSecond) : 0;
    }

    PackedAddress packAddress(const kernel::Address& address) { return { address.host, address.port }; }
    kernel::Address unpackAddress(PackedAddress&& packed) { return { .host = std::move(std::get<0>(packed)), .port = std::get<1>(packed) }; }

    PackedLineage packLineage(const std::vector<Tenure>& lineage)
    {
        PackedLineage packed;
        for (const auto& tenure : lineage)
            packed.emplace_back(tenure.owner, tenure.startedAt);
        return packed;
    }

    std::vector<Tenure> unpackLineage(PackedLineage&& packed)
    {
        std::vector<Tenure> lineage;
        packed.resize(std::min(packed.size(), maximumLineage));
        for (auto& [owner, startedAt] : packed)
            lineage.push_back({ .owner = std::move(owner), .startedAt = startedAt });
        return lineage;
    }

    MessageType fill(const GrantRequestMessage& message, PackedMessage& packed)
    {
        const auto& request = message.request;
        std::get<PackedRequest>(packed) = { message.instance, request.sequence, request.wanted, request.returned, { message.limit.perSecond, message.limit.burst }, message.configurationVersion, message.unreachable, message.daemons, request.demandPerSecond };
        return MessageType::GrantRequest;
    }

    MessageType fill(const GrantMessage& message, PackedMessage& packed)
    {
        const auto& grant = message.grant;
        std::get<PackedGrant>(packed) = { grant.sequence, grant.tokens, toMicroseconds(grant.lifetime), toMicroseconds(grant.retryAfter), message.redirectVm, packAddress(message.redirectAddress), grant.isUnsupported, { grant.share.perSecond, toMicroseconds(grant.share.lifetime) }, grant.share.burst };
        return MessageType::Grant;
    }

    MessageType fill(const ReleaseRequestMessage&, PackedMessage&) { return MessageType::ReleaseRequest; }

    MessageType fill(const ReleaseMessage& message, PackedMessage& packed)
    {
        std::get<PackedRelease>(packed) = { message.release.wasHeld, message.release.tokens, message.release.isClaimed, message.release.number, packLineage(message.release.lineage), { message.release.lent.perSecond, toMicroseconds(message.release.lent.lifetime) } };
        return MessageType::Release;
    }

    MessageType fill(const LeaseRequestMessage& message, PackedMessage& packed)
    {
        const auto& request = message.request;
        std::get<PackedLease>(packed) = { request.sentAt, request.tenure, packLineage(request.lineage), request.isStarting, false, false, false, {}, request.lentPerSecond };
        return MessageType::ReleaseRequest;
    }

    MessageType fill(const LeaseMessage& message, PackedMessage& packed)
    {
        const auto& reply = message.reply;
        std::get<PackedLease>(packed) = { reply.sentAt, 0, {}, false, reply.isGranted, reply.isContinued, reply.mayStart, reply.owner, reply.lentPerSecond };
        return MessageType::Release;
    }

    LeaseRequestMessage unpackLeaseRequest(PackedLease&& packed)
    {
        return { .request = { .sentAt = std::get<0>(packed), .tenure = std::get<1>(packed), .lineage = unpackLineage(std::move(std::get<2>(packed))), .lentPerSecond = validRate(std::get<8>(packed)), .isStarting = std::get<3>(packed) } };
    }

    LeaseMessage unpackLease(PackedLease&& packed)
    {
        return { .reply = { .sentAt = std::get<0>(packed), .isGranted = std::get<4>(packed), .isContinued = std::get<5>(packed), .mayStart = std::get<6>(packed), .lentPerSecond = validRate(std::get<8>(packed)), .owner = std::move(std::get<7>(packed)) } };
    }

    std::optional<GrantRequestMessage> unpackRequest(PackedRequest&& packed)
    {
        auto& [instance, sequence, wanted, returned, limit, version, unreachable, daemons, demand] = packed;
        const auto [perSecond, burst] = limit;
        if (!std::isfinite(perSecond) || !std::isfinite(burst) || perSecond < 0 || burst < 0)
            return std::nullopt;
        return GrantRequestMessage {
            .request = { .sequence = sequence, .wanted = wanted, .demandPerSecond = validRate(demand), .returned = returned },
            .instance = instance,
            .limit = { .perSecond = perSecond, .burst = burst },
            .configurationVersion = version,
            .daemons = daemons,
            .unreachable = std::move(unreachable),
        };
    }

    GrantMessage unpackGrant(PackedGrant&& packed)
    {
        auto& [sequence, tokens, lifetime, retryAfter, redirectVm, redirectAddress, isUnsupported, share, burst] = packed;
        return {
            .grant = { .sequence = sequence, .tokens = tokens, .lifetime = fromMicroseconds(lifetime), .retryAfter = fromMicroseconds(retryAfter), .share = { .perSecond = validRate(std::get<0>(share)), .burst = validRate(burst), .lifetime = fromMicroseconds(std::get<1>(share)) }, .isUnsupported = isUnsupported },
            .redirectVm = std::move(redirectVm),
            .redirectAddress = unpackAddress(std::move(redirectAddress)),
        };
    }

    std::optional<ReleaseMessage> unpackRelease(PackedRelease&& packed)
    {
        auto& [wasHeld, tokens, isClaimed, number, lineage, lent] = packed;
        if (!std::isfinite(tokens))
            return std::nullopt;
        return ReleaseMessage { .release = { .wasHeld = wasHeld, .tokens = tokens, .lineage = unpackLineage(std::move(lineage)), .lent = { .perSecond = validRate(std::get<0>(lent)), .lifetime = fromMicroseconds(std::get<1>(lent)) }, .isClaimed = isClaimed, .number = number } };
    }

    /// Sets the content of a message; returns false if it is malformed.
    bool unpackContent(Message& message, MessageType type, PackedMessage&& packed)
    {
        auto& lease = std::get<PackedLease>(packed);
        const bool hasLease = std::get<0>(lease) != 0;
        switch (type) {
        case MessageType::GrantRequest: {
            auto request = unpackRequest(std::move(std::get<PackedRequest>(packed)));
            if (!request)
                return false;
            request->request.holder = holderName(message.sender, request->instance);
            message.content = *std::move(request);
            return true;
        }
        case MessageType::Grant: {
            auto grant = unpackGrant(std::move(std::get<PackedGrant>(packed)));
            const bool isMalformed = !grant.redirectVm.empty() && !kernel::isIpAddress(grant.redirectAddress);
            if (isMalformed)
                return false;
            message.content = std::move(grant);
            return true;
        }
        case MessageType::ReleaseRequest:
            if (hasLease)
                message.content = unpackLeaseRequest(std::move(lease));
            else
                message.content = ReleaseRequestMessage {};
            return true;
        case MessageType::Release: {
            if (hasLease) {
                message.content = unpackLease(std::move(lease));
                return true;
            }
            auto release = unpackRelease(std::move(std::get<PackedRelease>(packed)));
            if (!release)
                return false;
            message.content = *std::move(release);
            return true;
        }
        }
        return false;
    }

}

std::string holderName(std::string_view vm, std::uint64_t instance)
{
    return std::string(vm).append("#").append(std::to_string(instance));
}

std::string encodeMessage(const Message& message)
{
    PackedMessage packed;
    const auto type = std::visit([&packed](const auto& content) { return fill(content, packed); }, message.content);
    std::get<PackedHeader>(packed) = { static_cast<std::uint8_t>(type), message.sender, packAddress(message.replyTo), message.organisation };
    return packing::pack(packed);
}

std::optional<Message> decodeMessage(std::string_view bytes)
{
    auto packed = packing::unpack<PackedMessage>(bytes);
    if (!packed)
        return std::nullopt;
    auto& [type, sender, replyTo, organisation] = std::get<PackedHeader>(*packed);
    Message message { .sender = std::move(sender), .replyTo = unpackAddress(std::move(replyTo)), .organisation = std::move(organisation) };
    if (message.sender.empty() || !kernel::isIpAddress(message.replyTo) || !unpackContent(message, static_cast<MessageType>(type), *std::move(packed)))
        return std::nullopt;
    return message;
}

}
