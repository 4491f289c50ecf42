#pragma once

namespace amaranthhall::catalog {

class Catalog;
class Organisations;
struct Configuration;
struct Organisation;
struct Route;
struct UpstreamEntry;

}
