#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/ctl/command.hpp>
#include <rattanbay/ctl/report.hpp>

#include <tclap/CmdLine.h>

#include <functional>
#include <string>
#include <vector>

namespace rattanbay::ctl::internal {

/// Thrown by a command for an invalid argument; the program then exits with `usage`.
struct usage_error {
    std::string message;
};

/// Command-line parser of one command. Arguments are registered with `parser()`; `run` parses the command
/// line, runs the command and prints its report, the help text or the usage error.
class command_line {
public:
    /// `description` is printed in the help text.
    command_line(const invocation& call, const std::string& description);

    /// Returns the parser to register arguments with.
    TCLAP::CmdLine& parser() { return parser_; }

    /// Parses the arguments, runs `body`, prints its report and returns the exit code.
    int run(const std::function<report()>& body);

private:
    int print(const report& result) const;
    int print_usage_error(const std::string& message) const;

    const invocation& call_;
    TCLAP::CmdLine parser_;
    TCLAP::SwitchArg json_;
};

/// Parses an address argument; throws `usage_error` if it is invalid.
base::address parse_address(const std::string& text);

/// Parses address arguments; throws `usage_error` if one is invalid.
std::vector<base::address> parse_addresses(const std::vector<std::string>& texts);

/// Returns an environment name argument; throws `usage_error` if it is invalid.
std::string parse_environment(const std::string& text);

/// Returns the content of a file argument; throws `usage_error` if it cannot be read.
std::string read_file(command_io& io, const std::string& path);

} // namespace rattanbay::ctl::internal
