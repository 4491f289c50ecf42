#pragma once

namespace amaranthhall::telemetry {

class JsonTracer;
class Metrics;
class Span;
class Tracer;
struct LogField;
struct TraceContext;

}
