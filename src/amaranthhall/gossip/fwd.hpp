#pragma once

namespace amaranthhall::gossip {

class GossipNode;
class PeerRegistry;
struct Digest;
struct VmProfile;

}
