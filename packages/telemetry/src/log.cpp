#include <rattanbay/telemetry/log.hpp>
#include <rattanbay/telemetry/timeline.hpp>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <iostream>

namespace rattanbay::telemetry {

namespace {

namespace logging = boost::log;

/// Name of the VM in all lines; set once before threads start.
std::string& vm_name() {
    static std::string name;
    return name;
}

/// Lines that wait for the thread that writes them. More are dropped and counted, so that a slow
/// reader of the log never holds a request up.
constexpr std::size_t max_waiting_lines = 4096;

std::atomic<std::uint64_t>& dropped_lines() {
    static std::atomic<std::uint64_t> count{0};
    return count;
}

/// Drops a line when the queue is full.
class counting_overflow {
public:
    template <class Lock> static bool on_overflow(const logging::record_view&, Lock&) {
        dropped_lines().fetch_add(1);
        return false;
    }

    static void on_queue_space_available() {}

    static void interrupt() {}
};

/// Writes all waiting lines and ends the thread that writes them.
std::function<void()>& flush_lines() {
    static std::function<void()> flush;
    return flush;
}

const log_event_row& row_of(log_event event) {
    for (const log_event_row& row : log_events) {
        if (row.event == event) {
            return row;
        }
    }
    assert(false && "a log event is not in the catalogue");
    return log_events.back();
}

std::string line_of(const log_event_row& row, const event_fields& fields) {
    nlohmann::ordered_json line;
    line["wall_us"] = wall_clock_us();
    line["level"] = base::to_name(row.level);
    line["event"] = static_cast<int>(row.event);
    line["name"] = base::to_name(row.event);
    line["vm"] = vm_name();
    for (const std::pair<std::string, std::string>& field : fields) {
        line[field.first] = field.second;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void start_logging(log_level lowest, const std::string& vm) {
    using backend = logging::sinks::text_ostream_backend;
    using queue = logging::sinks::bounded_fifo_queue<max_waiting_lines, counting_overflow>;
    using sink = logging::sinks::asynchronous_sink<backend, queue>;
    vm_name() = vm;
    const boost::shared_ptr<backend> out = boost::make_shared<backend>();
    out->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
    out->auto_flush(true);
    const boost::shared_ptr<sink> front = boost::make_shared<sink>(out);
    front->set_filter(logging::expressions::attr<log_level>("Severity") >= lowest);
    front->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(front);
    flush_lines() = [front]() {
        front->stop();
        front->flush();
    };
}

void stop_logging() {
    if (flush_lines()) {
        flush_lines()();
        logging::core::get()->remove_all_sinks();
        flush_lines() = nullptr;
    }
}

void log(log_event event, const event_fields& fields) {
    const std::uint64_t dropped = dropped_lines().exchange(0);
    if (dropped > 0) {
        log(log_event::lines_dropped, {{"lines", std::to_string(dropped)}});
    }
    thread_local logging::sources::severity_logger<log_level> source;
    const log_event_row& row = row_of(event);
    logging::record entry = source.open_record(logging::keywords::severity = row.level);
    if (entry) {
        logging::record_ostream stream(entry);
        stream << line_of(row, fields);
        stream.flush();
        source.push_record(std::move(entry));
    }
}

} // namespace rattanbay::telemetry
