#include "internal/command_line.hpp"
#include "internal/commands.hpp"
#include "internal/stand_in_list.hpp"

#include <rattanbay/emulator.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <optional>
#include <thread>

namespace rattanbay::ctl::internal {

namespace {

namespace asio = boost::asio;

/// Number of threads that run the emulators of one process.
constexpr std::size_t emulator_threads = 4;

std::vector<object_api::vm> read_vms(command_io& io, const std::string& path) {
    base::result<std::vector<object_api::vm>> vms = parse_vm_file(read_file(io, path));
    if (!vms) {
        throw usage_error{path + ": " + vms.error().message};
    }
    return std::move(*vms);
}

/// Runs the event loop until SIGTERM or SIGINT.
void serve_until_signal(asio::io_context& context) {
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    std::vector<std::thread> threads;
    threads.reserve(emulator_threads);
    for (std::size_t n = 0; n < emulator_threads; ++n) {
        threads.emplace_back([&context]() { context.run(); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

report make_failure_report(const base::error& reason) {
    return report{exit_code::unreachable, reason.message + "\n", {{"error", reason.message}}};
}

report make_empty_report() {
    return report{exit_code::success, "", nlohmann::ordered_json::object()};
}

} // namespace

int run_emulate_platform(const invocation& call) {
    command_line line(call,
                      "Runs a platform emulator until SIGTERM: object API, watches, VM list, call counters "
                      "and faults.");
    TCLAP::ValueArg<std::string> address("", "address", "Address to listen on.", true, "", "ADDRESS",
                                         line.parser());
    TCLAP::ValueArg<std::string> vms("", "vms", "File with the VM list.", true, "", "FILE", line.parser());
    return line.run([&]() {
        asio::io_context context;
        emulator::platform_options options;
        options.address = parse_address(address.getValue());
        const std::vector<object_api::vm> list = read_vms(call.io, vms.getValue());
        base::result<std::unique_ptr<emulator::platform_service>> started =
            emulator::platform_service::start(context, options);
        if (!started) {
            return make_failure_report(started.error());
        }
        (*started)->set_vms(list);
        serve_until_signal(context);
        return make_empty_report();
    });
}

int run_emulate_endpoints(const invocation& call) {
    command_line line(call,
                      "Runs emulators for the endpoints of a VM list until SIGTERM; the environment document "
                      "gives the kind of each.");
    TCLAP::ValueArg<std::string> vms("", "vms", "File with the VM list.", true, "", "FILE", line.parser());
    TCLAP::ValueArg<std::string> environment("", "environment", "Environment document.", true, "", "FILE",
                                             line.parser());
    return line.run([&]() {
        const config::validation_result<config::environment_document> document =
            config::environment_document::parse_for_publication(read_file(call.io, environment.getValue()));
        if (!document) {
            throw usage_error{environment.getValue() + " has errors; run rattanbayctl check to list them"};
        }
        asio::io_context context;
        base::result<std::vector<std::unique_ptr<emulator::endpoint_service>>> started =
            start_emulated_endpoints(context, read_vms(call.io, vms.getValue()), *document);
        if (!started) {
            return make_failure_report(started.error());
        }
        serve_until_signal(context);
        return make_empty_report();
    });
}

int run_load(const invocation& call) {
    command_line line(
        call, "Generates load over the callers' protocol, checks every response and reports attainment, "
              "latency, refusals and outcomes. Exits with 1 if a response was wrong.");
    TCLAP::UnlabeledValueArg<std::string> plan("plan", "File with the load plan (JSON with comments).", true,
                                               "", "FILE", line.parser());
    return line.run([&]() {
        const base::result<emulator::load_options> options =
            emulator::load_options::parse(read_file(call.io, plan.getValue()));
        if (!options) {
            throw usage_error{plan.getValue() + ": " + options.error().message};
        }
        asio::io_context context;
        asio::executor_work_guard<asio::io_context::executor_type> work_guard =
            asio::make_work_guard(context);
        std::optional<emulator::load_report> final_report;
        base::result<std::unique_ptr<emulator::load_generator>> started = emulator::load_generator::start(
            context, *options, [&final_report, &context](const emulator::load_report& result) {
                final_report = result;
                context.stop();
            });
        if (!started) {
            return make_failure_report(started.error());
        }
        context.run();
        const bool wrong = final_report->total.wrong > 0;
        return report{wrong ? exit_code::refused : exit_code::success, final_report->to_table(),
                      final_report->to_json()};
    });
}

} // namespace rattanbay::ctl::internal
