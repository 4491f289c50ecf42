#pragma once

namespace amaranthhall::share {

class ShareService;
class ShareSource;
struct EpochConfiguration;
struct EpochRecord;
struct Holding;
struct LeaseGrantor;
struct Ledger;
struct Process;
struct ShareCoordinator;
struct ShareNode;
struct ShareOptions;
struct ShareUse;

}
