#pragma once

namespace amaranthhall::table {

struct Difference;
struct Problem;
struct ServiceRow;
struct UpstreamRow;
struct TableImage;
class TableSource;

}
