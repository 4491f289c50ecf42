#pragma once

namespace amaranthhall::succession {

class Promoter;
class SuccessionService;
struct FailoverInput;

}
