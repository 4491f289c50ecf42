#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/retry/budget.hpp"
#include "amaranthhall/session/attempt.hpp"
#include "amaranthhall/session/session_metrics.hpp"
#include "amaranthhall/session/tls.hpp"
#include "amaranthhall/statement/classifier.hpp"
#include "amaranthhall/table/table_source.hpp"
#include "amaranthhall/telemetry/tracer.hpp"
#include "amaranthhall/upstream/dispatcher.hpp"

#include <list>
#include <memory>
#include <unordered_set>

namespace amaranthhall::session {

/// @brief What all sessions of a daemon share.
struct SessionContext {
    SessionContext(kernel::Loop& loop, kernel::Registry& registry, const kernel::Settings& settings);

    /// @brief Keeps an abandoned attempt for as long as its link may still call it.
    void keepUntilEnd(std::shared_ptr<Attempt> attempt);

    kernel::Loop& loop;
    const kernel::Settings& settings;
    table::TableSource& table;
    upstream::Dispatcher& dispatcher;
    upstream::Confirmer& confirmer;
    SessionMetrics metrics;
    const telemetry::Tracer* tracer; ///< Missing in a daemon without traces.
    statement::Classifier classifier;
    retry::Budget budget;
    Random random;
    std::unique_ptr<TlsContext> tls; ///< Missing if the settings name no certificate.
    unsigned keyedWorks { 0 }; ///< Works done under a request key.
    std::unordered_set<group::GroupId> keyTables; ///< Groups in which the table of request keys was made.

private:
    struct Abandoned {
        std::shared_ptr<Attempt> attempt;
        Time since;
    };

    std::list<Abandoned> abandoned;
};

}
