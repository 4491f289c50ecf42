#include "amaranthhall/soak/oracle.hpp"

namespace amaranthhall::soak {

void Oracle::noteWrite(const std::string& group, const std::string& session, const std::string& item, const std::string& data, Fate fate, Time at)
{
    this->writes[data] = { .group = group, .session = session, .item = item, .fate = fate, .at = at };
}

std::optional<std::string> Oracle::checkRead(const ObservedRead& read, const std::vector<CommittedWrite>& commits) const
{
    // The read must show the last commit that binds it, or a later one.
    std::optional<std::size_t> bound;
    std::optional<std::size_t> shown;
    for (std::size_t i = 0; i < commits.size(); ++i) {
        const auto& commit = commits[i];
        if (commit.item != read.item)
            continue;
        if (commit.data == read.data)
            shown = i;
        const auto found = this->writes.find(commit.data);
        if (commit.isRolledBack || found == this->writes.end() || found->second.fate != Fate::Acknowledged)
            continue;
        const bool isOwn = !read.session.empty() && found->second.session == read.session;
        const auto allowance = isOwn ? Duration::zero() : read.allowance;
        if (found->second.at + allowance < read.startedAt)
            bound = i;
    }
    if (!bound || (shown && *shown >= *bound))
        return std::nullopt;
    return "stale: read of " + read.item + " shows " + read.data + " and lacks " + commits[*bound].data;
}

std::vector<std::string> Oracle::checkWrites(const std::string& group, const std::vector<CommittedWrite>& commits) const
{
    std::map<std::string, int> kept;
    for (const auto& commit : commits) {
        if (!commit.isRolledBack)
            ++kept[commit.data];
    }
    std::vector<std::string> wrong;
    for (const auto& [data, count] : kept) {
        const auto found = this->writes.find(data);
        if (count > 1)
            wrong.push_back("doubled: " + data);
        if (found != this->writes.end() && found->second.fate == Fate::Refused)
            wrong.push_back("kept though refused: " + data);
    }
    for (const auto& commit : commits) {
        if (!commit.data.empty() && !this->writes.contains(commit.data))
            wrong.push_back("never asked for: " + commit.data);
    }
    for (const auto& [data, write] : this->writes) {
        const bool wasCommitted = kept.contains(data);
        const bool wasRolledBack = !wasCommitted && write.fate == Fate::Acknowledged;
        if (write.group != group || !wasRolledBack)
            continue;
        bool isKnown = false;
        for (const auto& commit : commits)
            isKnown = isKnown || commit.data == data;
        if (!isKnown)
            wrong.push_back("acknowledged though never committed: " + data);
    }
    return wrong;
}

std::vector<std::string> Oracle::checkKept(const std::string& group, const std::vector<CommittedWrite>& commits) const
{
    std::vector<std::string> wrong;
    for (const auto& commit : commits) {
        const auto found = this->writes.find(commit.data);
        const bool isAcknowledged = found != this->writes.end() && found->second.group == group && found->second.fate == Fate::Acknowledged;
        if (commit.isRolledBack && isAcknowledged)
            wrong.push_back("acknowledged and dropped by a promotion: " + commit.data);
    }
    return wrong;
}

}
