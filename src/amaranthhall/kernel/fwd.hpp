#pragma once

namespace amaranthhall::kernel {

class Loop;
class Registry;
class Service;
struct Address;
struct Settings;

}
