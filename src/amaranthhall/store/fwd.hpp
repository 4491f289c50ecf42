#pragma once

namespace amaranthhall::store {

class Store;
class TableWatch;
struct Row;

}
