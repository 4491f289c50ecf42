#pragma once

namespace amaranthhall::session {

class CallerListener;
class CallerSession;
class ExtendedQuery;
class StatementRunner;
struct SessionContext;
struct SessionState;
struct SessionToken;
struct Work;

}
