#include "amaranthhall/table/replica.hpp"

#include "amaranthhall/table/table_check.hpp"
#include "amaranthhall/table/table_diff.hpp"
#include "amaranthhall/table/table_json.hpp"

#include <algorithm>

namespace amaranthhall::table {

namespace {

    void dropStage(Replica& replica)
    {
        replica.staged.reset();
        replica.touched.clear();
    }

    void enforce(Replica& replica, TableImage image, std::string digest)
    {
        replica.inForce = std::move(image);
        replica.digest = std::move(digest);
        replica.knownVersion = std::max(replica.knownVersion, replica.inForce.version);
        if (replica.staged && replica.staged->info.version <= replica.inForce.version)
            dropStage(replica);
        else if (replica.staged)
            replica.touched = touchedServices(replica.inForce, replica.staged->image);
    }

    /// Tells whether the reporter knows of the stage held here and no longer holds it as undecided.
    bool isDecided(const Replica& replica, const Report& report)
    {
        if (!replica.staged || report.lastStage < replica.staged->info.number)
            return false;
        return !report.stage || report.stage->number != replica.staged->info.number;
    }

    bool isHeld(const Replica& replica, StageNumber number)
    {
        return replica.staged && replica.staged->info.number == number;
    }

    void commitStage(Replica& replica)
    {
        auto stage = *std::move(replica.staged);
        dropStage(replica);
        enforce(replica, std::move(stage.image), std::move(stage.info.digest));
    }

    Duration ageOf(Time now, Time then)
    {
        return std::max(now - then, Duration::zero());
    }

}

Report makeReport(const Head& head, StageNumber rowVersion)
{
    return {
        .isLoaded = true,
        .version = head.version,
        .digest = head.digest,
        .knownVersion = head.version,
        .lastStage = rowVersion,
        .stage = head.staged,
        .contactAge = Duration::zero(),
    };
}

StageAnswer holdStage(Replica& replica, const Stage& stage, Time asOf)
{
    if (isHeld(replica, stage.info.number))
        return StageAnswer::Held;
    if (stage.info.number <= replica.lastStage || stage.info.version <= replica.inForce.version)
        return StageAnswer::Decided;
    if (stage.image.version != stage.info.version || digestTable(stage.image) != stage.info.digest || !checkTable(stage.image).empty())
        return StageAnswer::Invalid;
    replica.lastStage = stage.info.number;
    // An edit is staged only upon its predecessor, which is therefore committed.
    replica.knownVersion = std::max(replica.knownVersion, stage.info.version - 1);
    replica.staged = stage;
    replica.touched = touchedServices(replica.inForce, stage.image);
    replica.pendingAsOf = asOf;
    return StageAnswer::Held;
}

bool takeTable(Replica& replica, const TableImage& image, std::string_view digest)
{
    if (image.version <= replica.inForce.version || digestTable(image) != digest)
        return false;
    enforce(replica, image, std::string(digest));
    return true;
}

Wanted takeReport(Replica& replica, const Report& report, std::optional<Time> askedAt)
{
    Wanted wanted;
    if (!report.isLoaded)
        return wanted;
    if (replica.staged && report.version == replica.staged->info.version && report.digest == replica.staged->info.digest)
        commitStage(replica);
    if (isDecided(replica, report))
        dropStage(replica);
    replica.knownVersion = std::max(replica.knownVersion, report.knownVersion);
    if (report.version > replica.inForce.version)
        wanted.table = report.digest;
    if (report.stage && report.stage->number > replica.lastStage && report.stage->version > replica.inForce.version)
        wanted.stage = report.stage;
    if (!wanted.isEmpty())
        return wanted;
    replica.lastStage = std::max(replica.lastStage, report.lastStage);
    if (!askedAt)
        return wanted;
    if (report.stage && report.pendingAge != Duration::max())
        renewPending(replica, report.stage->number, *askedAt - report.pendingAge);
    if (report.contactAge != Duration::max() && replica.knownVersion <= replica.inForce.version)
        renewContact(replica, *askedAt - report.contactAge);
    return wanted;
}

void renewContact(Replica& replica, Time asOf)
{
    replica.isLoaded = true;
    replica.contactAsOf = std::max(replica.contactAsOf.value_or(asOf), asOf);
}

void renewPending(Replica& replica, StageNumber number, Time asOf)
{
    if (isHeld(replica, number))
        replica.pendingAsOf = std::max(replica.pendingAsOf, asOf);
}

bool mayTakeWork(const Replica& replica, std::string_view service, Time now, const ReplicaOptions& options)
{
    if (!replica.isLoaded || replica.knownVersion > replica.inForce.version)
        return false;
    if (now - replica.contactAsOf.value_or(Time::min()) > options.lease)
        return false;
    return !replica.staged || !replica.touched.contains(service) || now - replica.pendingAsOf <= options.fateBound;
}

std::string explainRefusal(const Replica& replica, Time now, const ReplicaOptions& options)
{
    if (!replica.isLoaded)
        return "has no table yet: neither the store nor a majority of the daemons has answered";
    if (replica.knownVersion > replica.inForce.version)
        return "is behind: version " + std::to_string(replica.knownVersion) + " is in force and has not arrived";
    if (now - replica.contactAsOf.value_or(Time::min()) > options.lease)
        return "is cut off from the store and from a majority of the daemons";
    if (replica.staged && now - replica.pendingAsOf > options.fateBound)
        return "holds edit " + replica.staged->info.editId + " and cannot learn whether it is in force";
    return {};
}

Report makeReport(const Replica& replica, Time now)
{
    Report report {
        .isLoaded = replica.isLoaded,
        .version = replica.inForce.version,
        .digest = replica.digest,
        .knownVersion = replica.knownVersion,
        .lastStage = replica.lastStage,
    };
    if (replica.contactAsOf)
        report.contactAge = ageOf(now, *replica.contactAsOf);
    if (replica.staged) {
        report.stage = replica.staged->info;
        report.pendingAge = ageOf(now, replica.pendingAsOf);
    }
    return report;
}

}
