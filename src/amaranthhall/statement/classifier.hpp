#pragma once

#include "amaranthhall/statement/classification.hpp"

#include <cstddef>
#include <list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthhall::statement {

/// @brief Statements of one text, shared with the cache.
using Classifications = std::shared_ptr<const std::vector<Classification>>;

/// @brief Bounds of a classifier's cache.
struct ClassifierLimits {
    std::size_t maximumEntries { 4096 };
    std::size_t maximumTextSize { 4096 }; ///< Longer texts are not kept.
};

/// @brief Classifies texts and keeps the least recently used of them up to a limit.
class Classifier {
public:
    explicit Classifier(ClassifierLimits limits = {});

    /**
     * @brief Classifies a text as classify() does.
     * @param safeFunctions Further safe functions; may differ from call to call.
     */
    [[nodiscard]] Classifications classify(std::string_view text, std::span<const std::string> safeFunctions);

    /// @brief Gives the number of texts kept.
    [[nodiscard]] std::size_t size() const noexcept { return this->recentlyUsed.size(); }

private:
    struct Entry {
        std::string text;
        Classifications statements;
    };

    [[nodiscard]] Classifications findOrClassify(std::string_view text);
    void cache(std::string_view text, Classifications statements);

    ClassifierLimits limits;
    std::list<Entry> recentlyUsed; ///< The most recently used first.
    std::unordered_map<std::string_view, std::list<Entry>::iterator> index;
};

}
