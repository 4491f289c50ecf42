#include "amaranthhall/standin/group_log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::standin {

group::UpstreamStatus GroupLog::status() const noexcept
{
    return { .role = this->role, .term = this->term, .last = this->pointAt(this->log.size()) };
}

bool GroupLog::confirms(group::Term wanted, group::Position position) const noexcept
{
    const auto known = this->role == group::Role::Primary ? this->log.size() : this->matched;
    return wanted == this->term && position <= known;
}

group::LogPoint GroupLog::pointAt(group::Position position) const noexcept
{
    if (position == 0 || position > this->log.size())
        return {};
    return { .term = this->log[position - 1].term, .position = position };
}

group::LogPoint GroupLog::append(std::vector<LoggedStatement> statements)
{
    this->log.push_back({ .term = this->term, .statements = std::move(statements) });
    return this->pointAt(this->log.size());
}

bool GroupLog::fence(group::Term wanted) noexcept
{
    if (wanted <= this->term)
        return false;
    this->term = wanted;
    this->role = group::Role::Replica;
    this->matched = 0;
    return true;
}

bool GroupLog::promote(group::Term wanted) noexcept
{
    if (wanted != this->term)
        return false;
    this->role = group::Role::Primary;
    return true;
}

FeedAnswer GroupLog::takeFeed(const Feed& feed)
{
    const auto isOwnTerm = feed.term == this->term && this->role == group::Role::Primary;
    if (feed.term < this->term || isOwnTerm)
        return { .term = this->term, .position = this->log.size() };
    if (feed.term > this->term)
        this->matched = 0;
    this->term = feed.term;
    this->role = group::Role::Replica;
    if (feed.previous.position > this->log.size())
        return { .term = this->term, .position = this->log.size() };
    if (this->pointAt(feed.previous.position) != feed.previous)
        return { .term = this->term, .position = feed.previous.position - 1 };
    FeedAnswer answer { .accepted = true, .term = this->term };
    auto position = feed.previous.position;
    for (const auto& record : feed.records) {
        if (position < this->log.size() && this->log[position].term != record.term) {
            this->log.resize(position);
            answer.truncated = true;
        }
        if (position == this->log.size())
            this->log.push_back(record);
        ++position;
    }
    answer.truncated = this->dropTail(feed, position) || answer.truncated;
    this->matched = std::max(this->matched, position);
    answer.position = position;
    return answer;
}

bool GroupLog::dropTail(const Feed& feed, group::Position position)
{
    // A feed that was overtaken by a later one of its term says nothing of that term's records.
    const bool isWhole = position == feed.end && position < this->log.size();
    if (!isWhole || this->log[position].term == feed.term)
        return false;
    this->log.resize(position);
    return true;
}

Feed GroupLog::makeFeed(group::Position after, std::size_t most) const
{
    const auto from = std::min<std::size_t>(after, this->log.size());
    const auto to = std::min(from + most, this->log.size());
    Feed feed { .term = this->term, .previous = this->pointAt(from), .end = this->log.size() };
    feed.records.assign(this->log.begin() + static_cast<std::ptrdiff_t>(from), this->log.begin() + static_cast<std::ptrdiff_t>(to));
    return feed;
}

}
