#include "amaranthhall/budget/shares.hpp"

#include <algorithm>

namespace amaranthhall::budget {

namespace {

    constexpr std::uint64_t memoryOfProcess = 8U << 20U; // bytes, of a daemon without callers
    constexpr std::uint64_t memoryDivisor = 2; // rows of a large fleet, replies of upstreams and copies of what is charged need the other half
    constexpr std::uint64_t smallestMemoryDivisor = 8;

    // Descriptors. Each is a part of the limit in small VMs, and a fixed number in larger ones.
    constexpr std::size_t filesReserve = 200;
    constexpr std::size_t filesDivisor = 8;
    constexpr std::size_t ownReserve = 448; // for 24 upstreams with 12 connections each, and 100 peers, store and files of the process
    constexpr std::size_t ownDivisor = 4;
    constexpr std::size_t maximumPeers = 256; // daemons that relay to this one, or fetch rows, at the same time
    constexpr std::size_t peersDivisor = 16;
    constexpr std::size_t maximumHttp = 32; // each answers at once, so few are open at the same time
    constexpr std::size_t httpDivisor = 16;
    constexpr std::size_t httpPorts = 2;

}

Shares divideLimits(const VmLimits& limits)
{
    Shares shares;
    const auto half = limits.memory / memoryDivisor;
    shares.memory = std::max(half - std::min(half, memoryOfProcess), limits.memory / smallestMemoryDivisor);
    const auto total = limits.descriptors;
    const auto reserved = std::min(filesReserve, total / filesDivisor) + std::min(ownReserve, total / ownDivisor);
    shares.relays = std::max<std::size_t>(1, std::min(maximumPeers, total / peersDivisor));
    shares.peers = shares.relays;
    shares.http = std::max<std::size_t>(1, std::min(maximumHttp, total / httpDivisor));
    const auto taken = reserved + shares.relays + shares.peers + httpPorts * shares.http;
    shares.callers = std::max<std::size_t>(1, total - std::min(total, taken));
    return shares;
}

}
