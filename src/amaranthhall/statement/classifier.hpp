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

/// @brief Classified statements of one SQL text, shared with the cache.
using Classifications = std::shared_ptr<const std::vector<Classification>>;

/// @brief Limits of the cache of a Classifier.
struct ClassifierLimits {
    std::size_t maximumEntries { 4096 };
    std::size_t maximumTextSize { 4096 }; ///< In bytes; longer texts are not cached.
};

/// @brief Classifies SQL text and caches the results, evicting the least recently used.
class Classifier {
public:
    explicit Classifier(ClassifierLimits limits = {});

    /**
     * @brief Same as statement::classify(), with caching.
     * @param safeFunctions Further safe functions; may differ between calls, as it is not part of the cache key.
     */
    [[nodiscard]] Classifications classify(std::string_view text, std::span<const std::string> safeFunctions);

    /// @brief Returns the number of cached texts.
    [[nodiscard]] std::size_t size() const noexcept { return this->recentlyUsed.size(); }

private:
    struct Entry {
        std::string text;
        Classifications statements;
    };

    [[nodiscard]] Classifications findOrClassify(std::string_view text);
    void cache(std::string_view text, Classifications statements);

    ClassifierLimits limits;
    std::list<Entry> recentlyUsed; ///< Most recently used first.
    std::unordered_map<std::string_view, std::list<Entry>::iterator> index; ///< The keys point into `recentlyUsed`.
};

}
