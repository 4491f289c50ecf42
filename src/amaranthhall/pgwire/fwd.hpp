#pragma once

namespace amaranthhall::pgwire {

class FrameReader;
class FrameWriter;
struct Frame;
struct StartupRequest;
struct ErrorFields;

}
