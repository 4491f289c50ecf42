#pragma once

namespace amaranthhall::packing {

class TextSink;

}
