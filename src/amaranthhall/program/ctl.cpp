#include "amaranthhall/ctl/command_line.hpp"

#include <exception>
#include <iostream>

int main(int count, char** arguments)
{
    using namespace amaranthhall;
    try {
        return static_cast<int>(ctl::runCommandLine({ arguments + 1, arguments + count }, std::cout, std::cerr));
    } catch (const std::exception& exception) {
        std::cerr << "amaranthctl: " << exception.what() << '\n';
    }
    return static_cast<int>(ctl::ExitCode::Usage);
}
