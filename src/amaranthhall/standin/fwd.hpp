#pragma once

namespace amaranthhall::standin {

class GroupLog;
class SqlDatabase;
class SqlSession;
class UpstreamServer;

}
