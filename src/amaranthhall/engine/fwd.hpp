#pragma once

namespace amaranthhall::engine {

class CallerChannel;
class CommitGuard;
class Dispatcher;
class Link;
class LinkFactory;
class Session;
class UpstreamPool;
struct Reply;
struct Request;

}
