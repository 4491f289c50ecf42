#pragma once

#include "amaranthhall/table/io/refresher.hpp"

#include <optional>

namespace amaranthhall::table {

/// @brief Runs edits on this daemon, one at a time.
class EditRunner {
public:
    using Done = std::function<void(const EditResult&)>;

    EditRunner(TableContext& context, HeadStore& store, Refresher& refresher);

    /**
     * @brief Runs an edit; one with the id of the running edit waits for the same result.
     * @param request Its image must have passed checkTable().
     * @param done Called once.
     */
    void run(EditRequest request, Done done);

    /// @brief Notes that the running edit's stage is still undecided; call before telling a peer what is known here.
    void renewOwnStage();

    void stop();

private:
    void dispatch(const EditEvent& event);
    void perform(const EditAction& action);
    void readHead();
    void takeHead(const StoredHead& stored);
    void readCommitted(const StoredHead& stored);
    void storeImage();
    void writeHead(const WriteHead& action);
    void holdOwnStage(const StageInfo& info);
    void sendStage(const std::vector<std::string>& voters);
    void sendStageTo(const std::string& voter, const kernel::Address& address);
    void sendDecision(const std::vector<std::string>& voters);
    void enforceOwn();
    void withdrawOwn();
    void answer(const EditResult& result);
    void tick();
    [[nodiscard]] std::vector<Voter> listVoters() const;
    [[nodiscard]] std::weak_ptr<bool> guard() const { return this->running; }

    TableContext& context;
    HeadStore& store;
    Refresher& refresher;
    std::optional<Edit> edit;
    std::vector<Done> waiting;
    std::map<std::string, kernel::Address> addresses; ///< Of all voters seen during the edit.
    std::set<std::string> staging; ///< Voters with a call under way.
    kernel::Registration timer;
    std::shared_ptr<bool> running; ///< Renewed for each edit, so that late answers are recognised.
};

}
