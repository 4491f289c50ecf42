#pragma once

#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/table/edit.hpp"
#include "amaranthhall/table/majority.hpp"
#include "amaranthhall/table/replica.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::table {

/// @brief Daemons, editors and the store in pretended time: messages are late or lost, processes pause, the store is cut off.
class EditSimulation {
public:
    EditSimulation(std::uint64_t seed, std::size_t daemons);

    /// @brief Runs two edits under faults, then heals everything; fills failures.
    void run();

    [[nodiscard]] const std::vector<std::string>& failures() const noexcept { return this->broken; }
    [[nodiscard]] std::size_t committed() const noexcept { return this->commitTimes.size() - 1; }

private:
    using Work = std::function<void()>;

    struct Node {
        std::string id;
        Replica replica;
        Time pausedUntil;
        Time cutUntil; ///< From the store.
        Time isolatedUntil; ///< From the other daemons.
        std::optional<Edit> edit;
        std::optional<EditResult> result;
        Version lastVersion { 0 };
    };

    void at(Time time, Work work);
    void atNode(std::size_t node, Duration delay, Work work);
    Duration delay();
    bool chance(double probability);
    void sendToStore(std::size_t node, Work atStore);
    void sendToNode(std::size_t from, std::size_t to, Work work);

    void injectFaults();
    void refresh(std::size_t node);
    void askMajority(std::size_t node);
    void watchStage(std::size_t node);
    void take(std::size_t node, const Report& report, std::optional<Time> askedAt);
    bool writeHead(const WriteHead& write, const std::string& editId);

    void beginEdit(std::size_t node, const std::string& id, std::uint32_t weight);
    void tickEdit(std::size_t node);
    void feed(std::size_t node, const EditEvent& event);
    void perform(std::size_t node, const EditAction& action);
    void readHead(std::size_t node);
    void write(std::size_t node, const WriteHead& write);
    void sendStage(std::size_t node, const std::string& voter);
    void sendDecision(std::size_t node, const std::string& voter);
    Report reportOf(std::size_t node);
    void check(std::size_t node);
    void checkEnd();
    void fail(const std::string& text);

    Random random;
    Time now;
    Time healedAt;
    std::multimap<Time, Work> queue;
    std::vector<Node> nodes;
    Head head;
    StageNumber rowVersion { 1 };
    std::map<std::string, TableImage> images;
    std::map<std::string, Version> committedEdits;
    std::map<std::string, StageNumber> requests; ///< Row version that a request id got; 0 for a conflict.
    std::map<Version, Time> commitTimes;
    std::vector<std::string> broken;
};

}
