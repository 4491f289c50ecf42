#include "amaranthhall/statement/classifier.hpp"

#include <algorithm>

namespace amaranthhall::statement {

Classifier::Classifier(ClassifierLimits usedLimits)
    : limits(usedLimits)
{
}

Classifications Classifier::classify(std::string_view text, std::span<const std::string> safeFunctions)
{
    auto statements = this->findOrClassify(text);
    const bool isResolved = std::all_of(statements->begin(), statements->end(), [](const auto& item) { return item.unverifiedFunctions.empty(); });
    if (isResolved)
        return statements;
    auto resolved = std::make_shared<std::vector<Classification>>(*statements);
    resolveFunctions(*resolved, safeFunctions);
    return resolved;
}

Classifications Classifier::findOrClassify(std::string_view text)
{
    if (const auto found = this->index.find(text); found != this->index.end()) {
        this->recentlyUsed.splice(this->recentlyUsed.begin(), this->recentlyUsed, found->second);
        return found->second->statements;
    }
    auto statements = std::make_shared<const std::vector<Classification>>(classifyUnresolved(text));
    if (text.size() <= this->limits.maximumTextSize)
        this->cache(text, statements);
    return statements;
}

void Classifier::cache(std::string_view text, Classifications statements)
{
    this->recentlyUsed.push_front({ .text = std::string(text), .statements = std::move(statements) });
    this->index.emplace(this->recentlyUsed.front().text, this->recentlyUsed.begin());
    if (this->recentlyUsed.size() <= this->limits.maximumEntries)
        return;
    this->index.erase(this->recentlyUsed.back().text);
    this->recentlyUsed.pop_back();
}

}
