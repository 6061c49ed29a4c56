#pragma once

/// The command-line tool for operators: commands, their logic and their output.
///
/// Parts:
/// - checking.hpp: checks of settings files and documents
/// - command.hpp: entry of the command table and its arguments
/// - command_io.hpp: interface to files, network and clock
/// - command_table.hpp: list and dispatch of all commands
/// - daemon_client.hpp: client of the daemons' HTTP API
/// - exit_code.hpp: exit codes of the program
/// - network_io.hpp: command_io on the real files, network and clock
/// - platform_client.hpp: client of the platform's object API
/// - proving.hpp: verification of a document in a trial environment
/// - publishing.hpp: execution of publications against the platform
/// - report.hpp: result of a command as text and JSON
/// - timeline.hpp: merged list of the events of several daemons

#include <rattanbay/ctl/checking.hpp>
#include <rattanbay/ctl/command.hpp>
#include <rattanbay/ctl/command_io.hpp>
#include <rattanbay/ctl/command_table.hpp>
#include <rattanbay/ctl/daemon_client.hpp>
#include <rattanbay/ctl/exit_code.hpp>
#include <rattanbay/ctl/network_io.hpp>
#include <rattanbay/ctl/platform_client.hpp>
#include <rattanbay/ctl/proving.hpp>
#include <rattanbay/ctl/publishing.hpp>
#include <rattanbay/ctl/report.hpp>
#include <rattanbay/ctl/timeline.hpp>
