#pragma once

namespace amaranthhall::packing {

class StringSink;

}
