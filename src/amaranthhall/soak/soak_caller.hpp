#pragma once

#include "amaranthhall/engine/link.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/soak/oracle.hpp"

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

/// @brief What all callers of a run share.
struct CallerContext {
    kernel::Loop& loop;
    engine::LinkFactory& links;
    std::vector<SoakDatabase> databases;
    std::vector<kernel::Address> daemons;
    Oracle& oracle;
    std::function<std::vector<CommittedWrite>(const std::string& group)> commits;
    std::vector<std::string> violations;
    std::uint64_t answered { 0 };
    std::uint64_t failed { 0 };
    bool isStopping { false };
};

/// @brief One caller: it keeps a session open, runs one operation after the other, and checks what it is told.
class SoakCaller {
public:
    SoakCaller(CallerContext& context, std::string name, std::uint64_t seed);

private:
    void connect();
    void next();
    void pause(Duration length, std::function<void()> then);
    void read();
    void write();
    void transact();
    void send(const std::string& text, engine::Link::Done done);
    void settle(const std::string& item, const std::string& data, const engine::Reply& reply);
    void finish(const engine::Reply& reply);
    [[nodiscard]] std::string drawItem();

    CallerContext& context;
    std::string name;
    Random random;
    SoakDatabase database;
    std::unique_ptr<engine::LinkFactory::Opening> opening;
    std::unique_ptr<engine::Link> link;
    kernel::Registration timer;
    std::uint64_t sequence { 0 };
    std::uint64_t sessions { 0 };
};

}
