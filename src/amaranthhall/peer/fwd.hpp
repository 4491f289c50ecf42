#pragma once

namespace amaranthhall::peer {

class EnvelopeCodec;
class HttpPeerNetwork;
class PeerNetwork;
class ReplayWindow;
struct EnvelopeCall;
struct EnvelopeResponse;
struct MessageAuthentication;
struct PeerError;
struct PeerOptions;

}
