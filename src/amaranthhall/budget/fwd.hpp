#pragma once

namespace amaranthhall::budget {

class Account;
class BudgetGuard;
class Charge;
class Holder;
struct AccountState;
struct Closure;
struct HolderState;
struct Shares;
struct VmLimits;

}
