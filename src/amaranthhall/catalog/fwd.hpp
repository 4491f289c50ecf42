#pragma once

namespace amaranthhall::catalog {

class Catalog;
struct Configuration;
struct Route;
struct UpstreamEntry;

}
