#pragma once

namespace amaranthhall::upstream {

class Confirmer;
class Dispatcher;
class Link;
class LinkLease;
class ResultSink;
struct Batch;
struct BatchEnd;
struct Query;
struct Refusal;
struct WorkRequest;

}
