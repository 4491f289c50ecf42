#include "amaranthhall/hashing/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace amaranthhall::hashing {

namespace {

    // FNV-1a followed by a finalizer that mixes the bits (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
    // std::hash is not used because it may differ between builds, and all daemons must compute the same scores.
    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

    std::uint64_t finalMix(std::uint64_t value) noexcept
    {
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

    std::uint64_t hashBytes(std::uint64_t hash, std::string_view text) noexcept
    {
        for (const unsigned char byte : text)
            hash = (hash ^ byte) * fnvPrime;
        return hash;
    }

}

std::uint64_t rendezvousScore(std::string_view memberId, std::string_view key) noexcept
{
    auto hash = hashBytes(fnvOffset, memberId);
    hash = hashBytes(hash, std::string_view("\0", 1));
    return finalMix(hashBytes(hash, key));
}

double weightedScore(std::string_view memberId, std::string_view key, double weight) noexcept
{
    // Weighted rendezvous hashing: the score is -weight / ln(u) for a uniform u in (0, 1) (Schindelhauer and Schomaker, 2005).
    constexpr double hashRange = 0x1p64;
    const double uniform = (static_cast<double>(rendezvousScore(memberId, key)) + 0.5) / hashRange;
    return -weight / std::log(std::min(uniform, 1 - 0x1p-53));
}

std::uint32_t shortId(std::string_view name) noexcept
{
    return static_cast<std::uint32_t>(finalMix(hashBytes(fnvOffset, name)));
}

}
