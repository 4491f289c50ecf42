#pragma once

namespace amaranthhall::platform {

class HttpPlatform;
class Platform;
class ReadBudget;
struct Row;
struct Transaction;
struct VmEntry;

}
