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

/// VM name written to all lines; set once, before any thread is started.
std::string& vm_name() {
    static std::string name;
    return name;
}

/// Capacity of the queue of the writing thread. Lines beyond it are dropped and counted, so that a slow log
/// consumer never blocks a request.
constexpr std::size_t max_queued_lines = 4096;

std::atomic<std::uint64_t>& dropped_lines() {
    static std::atomic<std::uint64_t> count{0};
    return count;
}

/// Overflow policy that drops and counts lines when the queue is full.
class drop_on_overflow {
public:
    template <class Lock> static bool on_overflow(const logging::record_view&, Lock&) {
        dropped_lines().fetch_add(1);
        return false;
    }

    static void on_queue_space_available() {}

    static void interrupt() {}
};

/// Function that stops the writing thread and flushes the queued lines.
std::function<void()>& stop_sink() {
    static std::function<void()> stop;
    return stop;
}

const log_event_info& find_log_event(log_event event) {
    for (const log_event_info& info : log_events) {
        if (info.event == event) {
            return info;
        }
    }
    assert(false && "the log event is not in the catalogue");
    return log_events.back();
}

std::string format_line(const log_event_info& info, const event_fields& fields) {
    nlohmann::ordered_json line;
    line["wall_us"] = wall_clock_us();
    line["level"] = base::to_name(info.level);
    line["event"] = static_cast<int>(info.event);
    line["name"] = base::to_name(info.event);
    line["vm"] = vm_name();
    for (const std::pair<std::string, std::string>& field : fields) {
        line[field.first] = field.second;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void start_logging(log_level min_level, const std::string& vm) {
    using backend = logging::sinks::text_ostream_backend;
    using queue = logging::sinks::bounded_fifo_queue<max_queued_lines, drop_on_overflow>;
    using sink = logging::sinks::asynchronous_sink<backend, queue>;
    vm_name() = vm;
    const boost::shared_ptr<backend> out = boost::make_shared<backend>();
    out->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
    out->auto_flush(true);
    const boost::shared_ptr<sink> sink_frontend = boost::make_shared<sink>(out);
    sink_frontend->set_filter(logging::expressions::attr<log_level>("Severity") >= min_level);
    sink_frontend->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink_frontend);
    stop_sink() = [sink_frontend]() {
        sink_frontend->stop();
        sink_frontend->flush();
    };
}

void stop_logging() {
    if (stop_sink()) {
        stop_sink()();
        logging::core::get()->remove_all_sinks();
        stop_sink() = nullptr;
    }
}

void log(log_event event, const event_fields& fields) {
    const std::uint64_t dropped = dropped_lines().exchange(0);
    if (dropped > 0) {
        log(log_event::lines_dropped, {{"lines", std::to_string(dropped)}});
    }
    thread_local logging::sources::severity_logger<log_level> source;
    const log_event_info& info = find_log_event(event);
    logging::record entry = source.open_record(logging::keywords::severity = info.level);
    if (entry) {
        logging::record_ostream stream(entry);
        stream << format_line(info, fields);
        stream.flush();
        source.push_record(std::move(entry));
    }
}

} // namespace rattanbay::telemetry
