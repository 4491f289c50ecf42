#pragma once

#include "amaranthhall/engine/link.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/soak/oracle.hpp"
#include "amaranthhall/soak/organisation_oracle.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::soak {

/// @brief A database that callers use, and what its reads promise.
struct SoakDatabase {
    std::string name;
    std::string group;
    Duration allowance { 0 };
    bool showsOwnWrites { false };
};

/// @brief A key that callers use, and the organisation that holds it.
struct SoakKey {
    std::string key;
    std::string organisation;
};

/// @brief What all callers of a run share.
struct CallerContext {
    kernel::Loop& loop;
    engine::LinkFactory& links;
    std::vector<SoakDatabase> databases;
    std::vector<kernel::Address> daemons;
    std::vector<SoakKey> keys;
    OrganisationOracle& organisations;
    Oracle& oracle;
    std::function<std::vector<CommittedWrite>(const std::string& group)> commits;
    std::vector<std::string> violations;
    std::string limitedOrganisation; ///< Its callers ask for more than its limit; what they are refused does not count as failed.
    std::uint64_t limitedAnswered { 0 };
    std::uint64_t operations { 0 }; ///< Begun so far.
    std::uint64_t answered { 0 };
    std::uint64_t failed { 0 };
    bool isStopping { false };
};

/// @brief One caller: it keeps a session open, runs one operation after the other, and checks what it is told.
class SoakCaller {
public:
    /// @param organisation Whose keys its sessions use; empty for those of any.
    SoakCaller(CallerContext& context, std::string name, std::string organisation, std::uint64_t seed);

private:
    void connect();
    void next();
    void pause(Duration length, std::function<void()> then);
    void read();
    void write();
    void transact();
    void send(const std::string& text, engine::Link::Done done);
    void settle(const std::string& item, const std::string& data, const engine::Reply& reply);
    void count(bool hasSucceeded);
    void finish(const engine::Reply& reply);
    [[nodiscard]] std::string drawItem();
    [[nodiscard]] SoakKey drawKey();

    CallerContext& context;
    std::string name;
    std::string organisation;
    Random random;
    SoakDatabase database;
    SoakKey key;
    std::unique_ptr<engine::LinkFactory::Opening> opening;
    std::unique_ptr<engine::Link> link;
    kernel::Registration timer;
    std::uint64_t sequence { 0 };
    std::uint64_t operation { 0 };
    std::uint64_t sessions { 0 };
};

}
