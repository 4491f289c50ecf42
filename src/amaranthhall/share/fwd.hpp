#pragma once

namespace amaranthhall::share {

class ShareService;
class ShareSource;
struct Dealer;
struct EpochMembers;
struct EpochRecord;
struct Holding;
struct LeaseGrantor;
struct Ledger;
struct Process;
struct ShareNode;
struct ShareOptions;
struct ShareUse;

}
