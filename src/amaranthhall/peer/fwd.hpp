#pragma once

namespace amaranthhall::peer {

class HttpPeerNetwork;
class PeerNetwork;
class ReplayWindow;
class ServerEnvelope;
struct EnvelopeAnswer;
struct EnvelopeCall;
struct PeerError;
struct PeerOptions;
struct Proof;

}
