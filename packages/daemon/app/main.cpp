#include <rattanbay/config/settings.hpp>
#include <rattanbay/daemon.hpp>
#include <rattanbay/platform_adapter.hpp>
#include <rattanbay/telemetry.hpp>

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace telemetry = rattanbay::telemetry;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
/// Environment variable with the path of the settings file.
constexpr const char* settings_variable = "RATTANBAY_SETTINGS";

/// Whether signals of this kind wait until they are unblocked.
void set_blocked(int signal, bool blocked) {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, signal);
    pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

/// Reads a settings file. If it has errors, prints all of them and returns nothing.
std::optional<config::settings> read_settings(const std::string& settings_path) {
    const config::validation_result<config::settings> parsed = config::settings::read(settings_path);
    if (!parsed) {
        for (const config::finding& finding : parsed.error()) {
            std::cerr << settings_path << ": " << finding.pointer << ": " << finding.message << "\n";
        }
        return std::nullopt;
    }
    return *parsed;
}

/// Relays use the protocols of the users' platform, all other daemons those of the platform emulator.
rattanbay::daemon::platform_protocols protocols_for(const config::settings& settings) {
    if (!settings.relay) {
        return rattanbay::daemon::platform_protocols::emulated();
    }
    return {std::make_shared<rattanbay::platform_adapter::store_protocol>(),
            std::make_shared<rattanbay::platform_adapter::traffic_protocol>(),
            std::make_shared<rattanbay::platform_adapter::configuration_translator>()};
}

int run(const std::string& settings_path) {
    const std::optional<config::settings> settings = read_settings(settings_path);
    if (!settings) {
        return exit_failed;
    }
    const telemetry::log_level min_level =
        base::from_name<telemetry::log_level>(settings->log_level).value_or(telemetry::log_level::info);
    telemetry::start_logging(min_level, settings->vm.text());
    base::result<std::unique_ptr<rattanbay::daemon::daemon>> started =
        rattanbay::daemon::daemon::start(*settings, protocols_for(*settings));
    if (!started) {
        telemetry::log(telemetry::log_event::listen_failed, {{"reason", started.error().message}});
        telemetry::stop_logging();
        return exit_failed;
    }
    // The daemon handles it now; one that came during the start is delivered here.
    set_blocked(SIGHUP, false);
    (*started)->wait();
    telemetry::stop_logging();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    // The platform may say that the settings have changed before the daemon can handle the signal, whose
    // default action ends the process.
    set_blocked(SIGHUP, true);
    // A reader of the log that ends must not end the daemon.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        TCLAP::CmdLine command("The rattanbay daemon of an entry VM. SIGTERM begins a planned stop.", ' ',
                               "0.1.0");
        command.setExceptionHandling(false);
        const char* const environment_path = std::getenv(settings_variable);
        const std::string default_path = environment_path == nullptr ? "" : environment_path;
        TCLAP::UnlabeledValueArg<std::string> settings_path(
            "settings",
            std::string("Settings file (JSON with comments); if omitted, the environment variable ") +
                settings_variable + " specifies it",
            default_path.empty(), default_path, "file", command);
        command.parse(argc, argv);
        return run(settings_path.getValue());
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "rattanbayd: " << error.error() << " (see --help)\n";
        return exit_usage;
    } catch (const std::exception& exception) {
        std::cerr << "rattanbayd: " << exception.what() << "\n";
        return exit_failed;
    }
}
