#pragma once

namespace amaranthhall::placement {

struct Candidate;
struct Choice;
struct UpstreamHealth;

}
