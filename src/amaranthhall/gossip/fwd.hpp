#pragma once

namespace amaranthhall::gossip {

class GossipNode;
class PeerBook;
struct Digest;
struct VmProfile;

}
