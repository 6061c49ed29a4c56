#include <rattanbay/ctl/command_table.hpp>
#include <rattanbay/ctl/network_io.hpp>

#include <iostream>
#include <memory>

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::unique_ptr<rattanbay::ctl::command_io> io = rattanbay::ctl::make_network_io();
    return rattanbay::ctl::run(arguments, *io, std::cout, std::cerr);
}
