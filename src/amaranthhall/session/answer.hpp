#pragma once

#include "amaranthhall/pgwire/frame_writer.hpp"
#include "amaranthhall/session/work.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhall::session {

/// @brief Rows of a portal that its caller has not fetched yet.
struct SuspendedPortal {
    std::deque<std::string> rows; ///< Whole DataRow messages.
    std::string tag;
    std::size_t bytes { 0 };
};

/// @brief Suspended portals by name.
using SuspendedPortals = std::map<std::string, SuspendedPortal>;

/// @brief Builds the frames that answer a work, from what its link reports.
class Answer {
public:
    /// @brief Begins the answer of a work, which must outlive it.
    void begin(const Work& work, bool holdsCompletions);

    void addParameterTypes(std::size_t step, std::span<const std::uint32_t> types);
    void addColumns(std::size_t step, std::span<const pgwire::Column> columns);
    void addRow(std::size_t step, std::span<const pgwire::Value> values);
    void addCompletion(std::size_t step, std::string_view tag);

    /// @brief Adds frames that belong to no step.
    void addFrames(std::string_view frames);

    /// @brief Writer of the frames, for those that no other function builds.
    [[nodiscard]] pgwire::FrameWriter& frames() noexcept { return this->writer; }

    /// @brief Tells whether frames may go to the caller now: nothing that waits for a confirmation is among them.
    [[nodiscard]] bool mayGive() const noexcept { return !this->isHeld; }

    /// @brief Takes the frames built so far out; counts them as given.
    [[nodiscard]] std::string take();

    /// @brief Gives the bytes that were taken out since begin().
    [[nodiscard]] std::size_t given() const noexcept { return this->givenBytes; }

    /// @brief Gives the bytes that wait here.
    [[nodiscard]] std::size_t pending() const noexcept;

    /// @brief Drops what has not been taken out.
    void clear();

    [[nodiscard]] SuspendedPortals& suspended() noexcept { return this->portals; }

    /// @brief Adds the next rows of a suspended portal, and its tag once no row is left.
    void resume(const std::string& portal, std::int32_t rowLimit);

private:
    void addPrefix(std::size_t step);
    void addNoDataIfSilent(std::size_t step);

    const Work* work { nullptr };
    pgwire::FrameWriter writer;
    SuspendedPortals portals;
    bool holds { false };
    bool isHeld { false };
    std::size_t givenBytes { 0 };
    std::optional<std::size_t> begun; ///< The step whose prefix was added last.
    std::optional<std::size_t> described; ///< The step whose columns were added last.
    std::size_t rowsOfStep { 0 };
};

}
