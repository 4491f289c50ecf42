#pragma once

namespace amaranthhall::membership {

class MemberService;
class MemberSource;
struct Detector;
struct DetectorEntry;
struct DetectorOptions;
struct Gossip;
struct ListedVm;
struct Member;
struct MemberOptions;

}
