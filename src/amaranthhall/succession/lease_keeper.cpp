#include "amaranthhall/succession/lease_keeper.hpp"

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace amaranthhall::succession {

namespace {

    using telemetry::logEvent;
    using telemetry::LogLevel;

    constexpr freshness::Micros microsOf(Duration span)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
    }

    LeaseWriteFailure toFailure(store::StoreError error)
    {
        return { .isConflict = error == store::StoreError::Conflict, .reason = store::nameOf(error) };
    }

}

LeaseKeeper::LeaseKeeper(Parts usedParts, Options usedOptions)
    : parts(usedParts)
    , options(std::move(usedOptions))
    , eraChange { .startedAt = usedParts.loop.now() }
{
}

const store::Row* LeaseKeeper::row(const std::string& service) const
{
    return this->parts.fleet.find(leaseKey(service));
}

std::optional<FailoverLease> LeaseKeeper::find(const std::string& service) const
{
    return decodeLease(this->row(service));
}

void LeaseKeeper::updateEra()
{
    const auto era = std::max(this->parts.store.era(), this->parts.fleet.newestRow().era);
    if (era == this->currentEra)
        return;
    this->currentEra = era;
    this->eraChange.observedAt = this->parts.loop.now();
    logEvent(LogLevel::Warning, "succession.new_era", { { "era", era } });
}

void LeaseKeeper::observe(const std::string& service)
{
    auto& holder = this->observedHolders.try_emplace(service, Holder::None).first->second;
    holder = holderOf(this->row(service), this->options.self, this->currentEra).value_or(holder);
}

std::optional<store::Version> LeaseKeeper::heldVersion(const std::string& service) const
{
    return succession::heldVersion(this->row(service), this->options.self, this->currentEra);
}

bool LeaseKeeper::isLostByRestore(const std::string& service) const
{
    const auto observed = this->observedHolders.find(service);
    const bool wasHeld = observed != this->observedHolders.end() && observed->second == Holder::Self;
    return this->eraChange.observedAt && wasHeld && !this->heldVersion(service);
}

bool LeaseKeeper::isFreshOfOther(const std::string& service) const
{
    if (this->heldVersion(service))
        return false;
    const auto observed = this->observedHolders.find(service);
    if (mayBeHeldAfterRestore(this->eraChange, observed == this->observedHolders.end() ? Holder::None : observed->second, this->parts.loop.now()))
        return true;
    const auto lease = this->find(service);
    const auto latest = this->parts.store.clock().latestStoreTime(freshness::bootNow());
    return lease && latest && *latest - lease->takenAt < microsOf(leaseDuration);
}

bool LeaseKeeper::needsNoRenewal(const FailoverLease& lease) const
{
    const auto latest = this->parts.store.clock().latestStoreTime(freshness::bootNow());
    return !latest || *latest - lease.takenAt < microsOf(leaseDuration / 2);
}

store::Version LeaseKeeper::rowVersion(const std::string& service) const
{
    const auto* known = this->row(service);
    return known ? known->version : store::Version {};
}

PendingOrders LeaseKeeper::pendingOrders(const std::string& service) const
{
    auto lease = this->find(service);
    return lease ? PendingOrders { .version = this->rowVersion(service), .orders = std::move(lease->orders) } : PendingOrders {};
}

FailoverLease LeaseKeeper::makeLease(group::Term term, std::vector<PendingOrder> orders) const
{
    const auto takenAt = this->parts.store.clock().earliestStoreTime(freshness::bootNow()).value_or(0);
    return { .holder = this->options.self, .takenAt = takenAt, .era = this->currentEra, .term = term, .orders = std::move(orders) };
}

void LeaseKeeper::write(const std::string& service, const FailoverLease& lease, const store::Version& expected, Written done)
{
    const store::Row put { .key = { .table = this->options.table, .key = leaseKey(service) }, .value = encodeLease(lease) };
    this->parts.store.commit({ .conditions = { { .key = put.key, .version = expected } }, .puts = { put } }, [this, put, era = lease.era, done = std::move(done)](store::StoreResult<store::Version> result) {
        if (!result) {
            if (result.error() == store::StoreError::Conflict)
                this->parts.fleet.poll();
            done(tl::unexpected(toFailure(result.error())));
            return;
        }
        // After a restore the store reuses version numbers, so the condition may have matched a different row.
        if (result->era != era) {
            done(tl::unexpected(LeaseWriteFailure { .reason = "committed in another era" }));
            return;
        }
        auto row = put;
        row.version = *result;
        this->parts.fleet.merge({ row });
        this->parts.fleet.poll();
        done(*result);
    });
}

bool LeaseKeeper::acquire(const std::string& service, const FailoverLease& lease, Written done)
{
    if (!isVersionOfEra(this->row(service), this->currentEra))
        return false;
    const auto expected = this->rowVersion(service);
    logEvent(LogLevel::Info, "succession.taking_over", { { "service", service }, { "expected", store::formatVersion(expected) } });
    this->write(service, lease, expected, std::move(done));
    return true;
}

}
