#pragma once

namespace amaranthhall::table {

class EditRunner;
class HeadStore;
class Refresher;
class TableService;
class TableSource;
struct Difference;
struct Edit;
struct EditResult;
struct Head;
struct Problem;
struct Replica;
struct Report;
struct ServiceRow;
struct Stage;
struct StageInfo;
struct TableContext;
struct TableImage;
struct UpstreamRow;

}
