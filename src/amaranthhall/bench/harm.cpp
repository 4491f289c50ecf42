#include "amaranthhall/bench/harm.hpp"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

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

    /// Judges each write and read and reports every broken promise.
    class Judge {
    public:
        HarmCounts counts;
        std::vector<HarmNote> notes;

        void judgeWrite(const WriteRecord& write, const StoredWrite& stored)
        {
            const bool hasFirst = stored.parts[0] > 0;
            const bool hasAll = hasFirst && (write.rows == 1 || stored.parts[1] > 0);
            const bool hasAny = hasFirst || stored.parts[1] > 0;
            if (stored.parts[0] > 1 || stored.parts[1] > 1)
                this->add(this->counts.doubled, write, "write " + write.id + " is stored twice");
            if (hasAny != hasAll)
                this->add(this->counts.mixed, write, "half of transaction " + write.id + " is stored");
            if (write.told == Told::Acknowledged && !hasAll)
                this->add(this->counts.lost, write, "acknowledged write " + write.id + " is missing");
            if (write.told == Told::NotRun && hasAny)
                this->add(this->counts.falseNotRun, write, "write " + write.id + " is stored, but was told not run");
        }

        void judgeRead(const ReadRecord& read)
        {
            if (!read.succeeded)
                return;
            if (!read.hasOwnMarker)
                this->add(this->counts.mixed, read, "a read got an answer that is not its own");
            else if (read.sequence < read.leastSequence)
                this->add(this->counts.staleReads, read, "a read saw " + std::to_string(read.sequence) + " and had to see " + std::to_string(read.leastSequence) + (read.acceptsAge ? " (with an age)" : ""));
        }

        void judgeForeign(const std::string& id)
        {
            ++this->counts.mixed;
            this->notes.push_back({ .what = "rows of " + id + " were written by nobody" });
        }

    private:
        template <typename Record>
        void add(std::uint64_t& count, const Record& record, std::string what)
        {
            ++count;
            this->notes.push_back({ .what = std::move(what), .caller = record.caller, .instance = record.instance, .arrived = record.arrived, .ended = record.ended });
        }
    };

    Judge judge(const History& history, std::span<const StoredRow> rows)
    {
        Judge judge;
        const auto stored = groupRows(history, rows);
        for (const auto& write : history.writes) {
            const auto found = stored.find(write.id);
            judge.judgeWrite(write, found == stored.end() ? StoredWrite {} : found->second);
        }
        for (const auto& [id, write] : stored) {
            if (write.isForeign)
                judge.judgeForeign(id);
        }
        for (const auto& read : history.reads)
            judge.judgeRead(read);
        return judge;
    }

}

HarmCounts countHarm(const History& history, std::span<const StoredRow> rows)
{
    return judge(history, rows).counts;
}

std::vector<HarmNote> listHarm(const History& history, std::span<const StoredRow> rows, std::size_t most)
{
    auto notes = judge(history, rows).notes;
    notes.resize(std::min(notes.size(), most));
    return notes;
}

}
