#include "amaranthhall/bench/harm.hpp"

#include <array>
#include <unordered_map>

namespace amaranthhall::bench {

namespace {

    struct StoredWrite {
        std::array<std::uint32_t, 2> parts {};
        bool isForeign { false };
    };

    using StoredWrites = std::unordered_map<std::string, StoredWrite>;

    StoredWrites groupRows(const History& history, std::span<const StoredRow> rows)
    {
        std::unordered_map<std::string_view, const WriteRecord*> written;
        for (const auto& write : history.writes)
            written.emplace(write.id, &write);
        StoredWrites stored;
        for (const auto& row : rows) {
            auto& write = stored[row.id];
            const auto origin = written.find(row.id);
            const bool isOwn = origin != written.end() && origin->second->caller == row.caller && origin->second->sequence == row.sequence && row.part < origin->second->rows;
            write.isForeign = write.isForeign || !isOwn;
            if (row.part < write.parts.size())
                ++write.parts[row.part];
        }
        return stored;
    }

    void countWrite(const WriteRecord& write, const StoredWrite& stored, HarmCounts& counts)
    {
        const bool hasFirst = stored.parts[0] > 0;
        const bool hasAll = hasFirst && (write.rows == 1 || stored.parts[1] > 0);
        const bool hasAny = hasFirst || stored.parts[1] > 0;
        if (stored.parts[0] > 1 || stored.parts[1] > 1)
            ++counts.doubled;
        if (hasAny != hasAll)
            ++counts.mixed;
        if (write.told == Told::Acknowledged && !hasAll)
            ++counts.lost;
        if (write.told == Told::NotRun && hasAny)
            ++counts.falseNotRun;
    }

}

HarmCounts countHarm(const History& history, std::span<const StoredRow> rows)
{
    HarmCounts counts;
    const auto stored = groupRows(history, rows);
    for (const auto& write : history.writes) {
        const auto found = stored.find(write.id);
        countWrite(write, found == stored.end() ? StoredWrite {} : found->second, counts);
    }
    for (const auto& [id, write] : stored) {
        if (write.isForeign)
            ++counts.mixed;
    }
    for (const auto& read : history.reads) {
        if (!read.succeeded)
            continue;
        if (!read.hasOwnMarker)
            ++counts.mixed;
        else if (read.sequence < read.leastSequence)
            ++counts.staleReads;
    }
    return counts;
}

}
