#pragma once

namespace amaranthhall::identity {

struct Identity;

}
