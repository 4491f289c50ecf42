#pragma once

#include "amaranthhall/platform/backoff.hpp"
#include "amaranthhall/table/io/head_store.hpp"
#include "amaranthhall/table/io/table_context.hpp"
#include "amaranthhall/table/majority.hpp"

#include <memory>
#include <set>

namespace amaranthhall::table {

/// @brief Keeps a daemon's replica up to date, through the store, a poller of the store, or a majority of peers.
class Refresher {
public:
    Refresher(TableContext& context, HeadStore& store);

    /// @brief Begins; the first contact is sought at once.
    void start();
    void stop();

    /**
     * @brief Takes a report and fetches what it shows to be missing.
     * @param askedAt As for takeReport().
     * @param source Peer that holds the rows; nothing for the object store.
     * @param done Called with whether nothing is missing any more.
     */
    void take(const Report& report, std::optional<Time> askedAt, std::optional<kernel::Address> source, std::function<void(bool)> done = {});

    /// @brief Decides by a conditional write that nobody commits the staged edit of a lost editor.
    void resolveStage();

    /// @brief Tells whether this daemon is one of the few that poll the store.
    [[nodiscard]] bool isPoller() const;

    /// @brief Reads the platform's list of VMs anew; the electorate is those on it and the members.
    void readElectorate(std::function<void(bool)> done);

    /**
     * @brief Gives the other daemons of which a majority stands for the store.
     *
     * Without the platform's list a daemon cannot tell the dead from those beyond a partition, so
     * only the list takes a daemon out.
     */
    [[nodiscard]] const std::map<std::string, kernel::Address>& electorate() const noexcept { return this->electors; }

    /// @brief Adds the present members to the electorate.
    void addMembers();

    /// @brief Stops resolveStage() while this daemon itself runs the staged edit.
    void setOwnEdit(StageNumber number) noexcept { this->ownEdit = number; }

private:
    void schedule();
    void refresh();
    void finishRefresh(bool succeeded);
    void readStore();
    void askPoller();
    void askMajority();
    void takeAnswer(const std::shared_ptr<MajorityRound>& round, const std::string& elector, ElectorAnswer answer);
    void ask(const kernel::Address& peer, std::function<void(std::optional<Report>)> done);
    void fetch(const std::string& digest, std::optional<kernel::Address> source, std::function<void(std::optional<TableImage>)> done);
    void fetchFromStore(const std::string& digest, std::function<void(std::optional<TableImage>)> done);
    void fetchTable(const Wanted& wanted, std::optional<kernel::Address> source, std::function<void()> done);
    void fetchStage(const Wanted& wanted, std::optional<kernel::Address> source, Time asOf, std::function<void()> done);
    void watchStage();

    TableContext& context;
    HeadStore& store;
    platform::Backoff backoff;
    std::map<std::string, kernel::Address> electors;
    std::set<std::string> established; ///< Electors that were on the list, or have been seen loaded.
    Time lastElectorate;
    Time lastStoreRead;
    Time nextResolve;
    unsigned int failures { 0 };
    bool isRefreshing { false };
    bool isResolving { false };
    StageNumber ownEdit { 0 };
    kernel::Registration refreshTimer;
    kernel::Registration stageTimer;
    std::shared_ptr<bool> running;
};

}
