#pragma once

#include "amaranthhall/pgwire/error_fields.hpp"
#include "amaranthhall/session/work.hpp"
#include "amaranthhall/statement/classifier.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace amaranthhall::session {

/// @brief Answers a statement without an upstream: its frames, an error, or nothing if an upstream has to run it.
using LocalAnswer = std::function<tl::expected<std::optional<std::string>, pgwire::ErrorFields>(const statement::Classification&)>;

/// @brief Result of taking in a message.
using MessageResult = tl::expected<void, pgwire::ErrorFields>;

/// @brief The extended query protocol: keeps prepared statements and portals, and gathers messages into a work.
class ExtendedQuery {
public:
    /// @brief Takes in a Parse.
    [[nodiscard]] MessageResult parse(std::string_view body, statement::Classifier& classifier, std::span<const std::string> safeFunctions);

    /// @brief Takes in a Bind.
    [[nodiscard]] MessageResult bind(std::string_view body);

    /// @brief Takes in a Describe.
    [[nodiscard]] MessageResult describe(std::string_view body);

    /**
     * @brief Takes in an Execute.
     * @param answerLocally Called if the statement may not need an upstream.
     */
    [[nodiscard]] MessageResult execute(std::string_view body, const LocalAnswer& answerLocally);

    /// @brief Takes in a Close; gives the name of the portal that it closes, if any.
    [[nodiscard]] tl::expected<std::optional<std::string>, pgwire::ErrorFields> close(std::string_view body);

    /// @brief Takes the gathered messages out as a work.
    [[nodiscard]] Work takeWork();

    /// @brief Adds frames in their place among the answers.
    void addFrames(std::string_view frames) { this->prefix += frames; }

    /// @brief Drops what was gathered, after an error.
    void dropWork();

    void closePortals() { this->portals.clear(); }

    /// @brief Drops a prepared statement, or all if the name is empty.
    void deallocate(const std::string& name);

    /// @brief Tells whether nothing is gathered.
    [[nodiscard]] bool empty() const noexcept { return this->steps.empty() && this->prefix.empty() && !this->unvalidated; }

    /// @brief Tells whether nothing is kept that a further message could use.
    [[nodiscard]] bool isDisposable() const noexcept { return this->empty() && this->prepared.empty() && this->portals.empty(); }

private:
    struct Prepared {
        std::string text;
        std::vector<std::uint32_t> types;
        statement::Classification statement;
    };
    using PreparedHandle = std::shared_ptr<const Prepared>;

    struct Portal {
        PreparedHandle prepared;
        std::vector<std::optional<std::string>> parameters;
        std::vector<std::int16_t> parameterFormats;
        std::vector<std::int16_t> resultFormats;
    };

    void validate();
    void describeWaiting();
    void addDescription(const PreparedHandle& described, ReplyKind reply, const std::vector<std::int16_t>& formats);
    Step& addStep(Step step);
    [[nodiscard]] std::string takePrefix();

    std::map<std::string, PreparedHandle> prepared;
    std::map<std::string, Portal> portals;
    std::vector<Step> steps;
    std::string prefix;
    PreparedHandle unvalidated; ///< Parsed, and so far used by no query that would show its faults.
    std::optional<std::string> toDescribe; ///< Portal whose description waits for its execution.
};

}
