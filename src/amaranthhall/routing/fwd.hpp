#pragma once

namespace amaranthhall::routing {

struct Candidate;
struct RouteDecision;
struct RouteContext;
struct RouteRequest;

}
