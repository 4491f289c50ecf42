#pragma once

namespace amaranthhall::group {

struct GroupId;
struct GroupView;
struct LogPoint;
struct UpstreamId;
struct UpstreamStatus;
struct UpstreamView;
class GroupSource;
struct FailoverAttempt;
struct FreshnessHistory;
struct GroupState;

}
