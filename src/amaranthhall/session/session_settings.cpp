#include "amaranthhall/session/session_settings.hpp"

#include <utility>

namespace amaranthhall::session {

void SessionSettings::apply(const statement::Classification& statement)
{
    const auto& assignment = statement.assignment;
    if (assignment.isLocal)
        return;
    if (assignment.isReset && assignment.name == "all") {
        this->entries.clear();
        return;
    }
    std::erase_if(this->entries, [&](const Entry& entry) { return entry.name == assignment.name; });
    if (!assignment.isReset)
        this->entries.push_back({ .name = assignment.name, .text = statement.text });
}

void SessionSettings::beginTransaction()
{
    if (std::exchange(this->inTransaction, true))
        return;
    this->before = this->entries;
}

void SessionSettings::endTransaction(bool isCommitted)
{
    if (!std::exchange(this->inTransaction, false))
        return;
    if (!isCommitted)
        this->entries = std::move(this->before);
    this->before.clear();
}

std::vector<std::string> SessionSettings::statements() const
{
    std::vector<std::string> texts;
    texts.reserve(this->entries.size());
    for (const auto& entry : this->entries)
        texts.push_back(entry.text);
    return texts;
}

}
