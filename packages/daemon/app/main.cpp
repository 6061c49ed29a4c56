#include <rattanbay/config/settings.hpp>
#include <rattanbay/daemon.hpp>
#include <rattanbay/platform_adapter.hpp>
#include <rattanbay/telemetry.hpp>

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace telemetry = rattanbay::telemetry;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
/// Environment variable that names the settings file.
constexpr const char* settings_variable = "RATTANBAY_SETTINGS";

/// Reads a settings file and prints all findings when it has errors.
std::optional<config::settings> read_settings(const std::string& path) {
    const config::validation_result<config::settings> parsed = config::settings::read(path);
    if (!parsed) {
        for (const config::finding& finding : parsed.error()) {
            std::cerr << path << ": " << finding.pointer << ": " << finding.message << "\n";
        }
        return std::nullopt;
    }
    return *parsed;
}

/// Relays run on the users' platform, all else on the project's own stand-ins.
rattanbay::daemon::platform_protocols protocols_for(const config::settings& settings) {
    if (!settings.relay) {
        return rattanbay::daemon::platform_protocols::own();
    }
    return {std::make_shared<rattanbay::platform_adapter::store_protocol>(),
            std::make_shared<rattanbay::platform_adapter::traffic_protocol>()};
}

int run(const std::string& path) {
    const std::optional<config::settings> settings = read_settings(path);
    if (!settings) {
        return exit_failed;
    }
    const telemetry::log_level lowest =
        base::from_name<telemetry::log_level>(settings->log_level).value_or(telemetry::log_level::info);
    telemetry::start_logging(lowest, settings->vm.text());
    base::result<std::unique_ptr<rattanbay::daemon::daemon>> started =
        rattanbay::daemon::daemon::start(*settings, protocols_for(*settings));
    if (!started) {
        telemetry::log(telemetry::log_event::listen_failed, {{"reason", started.error().message}});
        telemetry::stop_logging();
        return exit_failed;
    }
    (*started)->wait();
    telemetry::stop_logging();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command("The rattanbay daemon of an entry VM. SIGTERM begins a planned stop.", ' ',
                               "0.1.0");
        command.setExceptionHandling(false);
        const char* const preset = std::getenv(settings_variable);
        const std::string usual = preset == nullptr ? "" : preset;
        TCLAP::UnlabeledValueArg<std::string> path(
            "settings",
            std::string("Settings file (JSON with comments); without it the file that the variable ") +
                settings_variable + " names",
            usual.empty(), usual, "file", command);
        command.parse(argc, argv);
        return run(path.getValue());
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& wrong) {
        std::cerr << "rattanbayd: " << wrong.error() << " (see --help)\n";
        return exit_usage;
    } catch (const std::exception& thrown) {
        std::cerr << "rattanbayd: " << thrown.what() << "\n";
        return exit_failed;
    }
}
