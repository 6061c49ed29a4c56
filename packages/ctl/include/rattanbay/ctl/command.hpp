#pragma once

#include <rattanbay/ctl/command_io.hpp>

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::ctl {

/// Arguments and streams of one command execution.
struct invocation {
    /// "rattanbayctl COMMAND" as the first element, then the arguments; the form that TCLAP expects.
    std::vector<std::string> arguments;
    command_io& io;
    std::ostream& out;
    std::ostream& err;
};

/// One entry of the command table.
struct command {
    std::string_view name;
    /// One-line description for the list of commands.
    std::string_view summary;
    /// Runs the command and returns the exit code of the program.
    int (*run)(const invocation& call) = nullptr;
};

} // namespace rattanbay::ctl
