#include "amaranthhall/statement/classifier.hpp"

#include <algorithm>

namespace amaranthhall::statement {

Classifier::Classifier(ClassifierLimits usedLimits)
    : limits(usedLimits)
{
}

Classifications Classifier::classify(std::string_view text, std::span<const std::string> safeFunctions)
{
    auto shape = this->shapeOf(text);
    const bool isResolved = std::all_of(shape->begin(), shape->end(), [](const auto& item) { return item.functions.empty(); });
    if (isResolved)
        return shape;
    auto resolved = std::make_shared<std::vector<Classification>>(*shape);
    resolveFunctions(*resolved, safeFunctions);
    return resolved;
}

Classifications Classifier::shapeOf(std::string_view text)
{
    if (const auto found = this->index.find(text); found != this->index.end()) {
        this->order.splice(this->order.begin(), this->order, found->second);
        return found->second->shape;
    }
    auto shape = std::make_shared<const std::vector<Classification>>(classifyShape(text));
    if (text.size() <= this->limits.textBytes)
        this->keep(text, shape);
    return shape;
}

void Classifier::keep(std::string_view text, Classifications shape)
{
    this->order.push_front({ .text = std::string(text), .shape = std::move(shape) });
    this->index.emplace(this->order.front().text, this->order.begin());
    if (this->order.size() <= this->limits.entries)
        return;
    this->index.erase(this->order.back().text);
    this->order.pop_back();
}

}
