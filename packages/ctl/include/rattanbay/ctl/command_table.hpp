#pragma once

#include <rattanbay/ctl/command.hpp>

#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace rattanbay::ctl {

/// Returns all commands in the order of the help text.
std::span<const command> command_table();

/// Runs the command named by the first argument; `arguments` excludes the program name. Without
/// arguments or with an unknown command, prints the list of commands and returns `usage`.
int run(const std::vector<std::string>& arguments, command_io& io, std::ostream& out, std::ostream& err);

} // namespace rattanbay::ctl
