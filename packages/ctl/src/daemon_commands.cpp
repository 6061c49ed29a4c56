#include "internal/command_line.hpp"
#include "internal/commands.hpp"
#include "internal/presentation.hpp"

#include <rattanbay/http/message.hpp>

namespace rattanbay::ctl::internal {

namespace {

struct address_argument {
    explicit address_argument(TCLAP::CmdLine& parser)
        : text("daemon", "Operator address of the daemon.", true, "", "ADDRESS", parser) {}

    base::address value() const { return parse_address(text.getValue()); }

    TCLAP::UnlabeledValueArg<std::string> text;
};

} // namespace

int run_status(const invocation& call) {
    command_line line(call, "Prints the state of daemons.");
    TCLAP::UnlabeledMultiArg<std::string> daemons("daemons", "Operator addresses of the daemons.", true,
                                                  "ADDRESS", line.parser());
    return line.run([&]() {
        std::vector<daemon_status> statuses;
        for (const base::address& address : parse_addresses(daemons.getValue())) {
            statuses.push_back({address, daemon_client(call.io, address).status()});
        }
        return make_report(statuses);
    });
}

int run_entries(const invocation& call) {
    command_line line(call, "Prints the entry addresses that a daemon returns to callers.");
    const address_argument daemon(line.parser());
    return line.run([&]() {
        const base::address address = daemon.value();
        return make_report(address, daemon_client(call.io, address).entries());
    });
}

int run_drain(const invocation& call) {
    command_line line(call, "Drains a daemon: it finishes its requests and exits.");
    const address_argument daemon(line.parser());
    return line.run([&]() {
        const base::address address = daemon.value();
        return make_drain_report(address, daemon_client(call.io, address).drain());
    });
}

int run_timeline(const invocation& call) {
    command_line line(call, "Prints recorded events of daemons, sorted by wall-clock time: those of one "
                            "request or those between two times.");
    TCLAP::ValueArg<std::string> request("", "request", "Identifier of the request.", false, "", "ID",
                                         line.parser());
    TCLAP::ValueArg<std::uint64_t> since("", "since-ms", "Start of the range in milliseconds since 1970.",
                                         false, 0, "ms", line.parser());
    TCLAP::ValueArg<std::uint64_t> until("", "until-ms", "End of the range in milliseconds since 1970.",
                                         false, 0, "ms", line.parser());
    TCLAP::UnlabeledMultiArg<std::string> daemons("daemons", "Operator addresses of the daemons.", true,
                                                  "ADDRESS", line.parser());
    return line.run([&]() {
        const bool has_range = since.isSet() && until.isSet();
        if (request.isSet() == has_range || since.isSet() != until.isSet()) {
            throw usage_error{"give either --request or both --since-ms and --until-ms"};
        }
        const std::string query = request.isSet() ? "request=" + http::percent_encode(request.getValue())
                                                  : "since_ms=" + std::to_string(since.getValue()) +
                                                        "&until_ms=" + std::to_string(until.getValue());
        timeline merged;
        for (const base::address& address : parse_addresses(daemons.getValue())) {
            const base::result<nlohmann::json> events = daemon_client(call.io, address).timeline(query);
            merge(merged, address, events.and_then(parse_events));
        }
        return make_report(merged);
    });
}

int run_version(const invocation& call) {
    command_line line(call, "Prints the version of the program.");
    return line.run([&]() {
        report out;
        out.text = RATTANBAY_VERSION "\n";
        out.data["version"] = RATTANBAY_VERSION;
        return out;
    });
}

} // namespace rattanbay::ctl::internal
