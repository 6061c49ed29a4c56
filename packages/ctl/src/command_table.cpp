#include "internal/commands.hpp"

#include <rattanbay/ctl/command_table.hpp>
#include <rattanbay/ctl/exit_code.hpp>

#include <algorithm>
#include <array>

namespace rattanbay::ctl {

namespace {

constexpr std::size_t name_width = 20;

constexpr std::array commands{
    command{"check", "check settings files and documents", internal::run_check},
    command{"apply", "publish a document in a trial environment", internal::run_apply},
    command{"prove", "verify a document in a trial environment", internal::run_prove},
    command{"promote", "publish a proved document in production", internal::run_promote},
    command{"status", "print the state of daemons", internal::run_status},
    command{"entries", "print the entry addresses for callers", internal::run_entries},
    command{"drain", "drain a daemon and stop it", internal::run_drain},
    command{"timeline", "print recorded events of daemons", internal::run_timeline},
    command{"emulate-platform", "run a platform emulator", internal::run_emulate_platform},
    command{"emulate-endpoints", "run endpoint emulators", internal::run_emulate_endpoints},
    command{"load", "generate load and report the results", internal::run_load},
    command{"version", "print the version", internal::run_version},
};

void print_commands(std::ostream& out) {
    out << "Usage: rattanbayctl COMMAND [argument...]\n\nCommands:\n";
    for (const command& row : commands) {
        out << "  " << row.name << std::string(name_width - row.name.size(), ' ') << row.summary << "\n";
    }
    out << "\nrattanbayctl COMMAND --help prints the help of a command. With --json a command prints JSON.\n"
           "Exit codes: 0 success, 1 refused or findings, 2 usage error, 3 unreachable,\n"
           "4 outcome unknown.\n";
}

} // namespace

std::span<const command> command_table() {
    return commands;
}

int run(const std::vector<std::string>& arguments, command_io& io, std::ostream& out, std::ostream& err) {
    if (!arguments.empty() && (arguments.front() == "--help" || arguments.front() == "help")) {
        print_commands(out);
        return static_cast<int>(exit_code::success);
    }
    const std::string name = arguments.empty() ? "" : arguments.front();
    const auto it = std::ranges::find(commands, name, &command::name);
    if (it == commands.end()) {
        print_commands(err);
        return static_cast<int>(exit_code::usage);
    }
    std::vector<std::string> command_arguments(arguments.begin(), arguments.end());
    command_arguments.front() = "rattanbayctl " + name;
    return it->run(invocation{std::move(command_arguments), io, out, err});
}

} // namespace rattanbay::ctl
