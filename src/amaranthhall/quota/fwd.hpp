#pragma once

namespace amaranthhall::quota {

struct Bucket;
struct GrantRequest;
struct HeldTokens;
struct OwnedBucket;
struct Room;
struct WindowBound;
class QuotaService;

}
