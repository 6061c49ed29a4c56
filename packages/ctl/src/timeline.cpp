#include <rattanbay/ctl/timeline.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>

namespace rattanbay::ctl {

namespace {

using nlohmann::json;

bool is_valid_event(const json& row) {
    const auto has_string = [&row](const char* key) { return row.contains(key) && row[key].is_string(); };
    return row.is_object() && row.contains("wall_us") && row["wall_us"].is_number_integer() &&
           has_string("vm") && has_string("incarnation") && has_string("event");
}

timeline_event parse_event(const json& row) {
    timeline_event out;
    out.wall_us = row["wall_us"].get<std::int64_t>();
    out.vm = row["vm"].get<std::string>();
    out.incarnation = row["incarnation"].get<std::string>();
    out.event = row["event"].get<std::string>();
    const auto request = row.find("request");
    out.request = request != row.end() && request->is_string() ? request->get<std::string>() : std::string();
    const auto fields = row.find("fields");
    out.fields = fields != row.end() && fields->is_object() ? *fields : json::object();
    return out;
}

} // namespace

base::result<std::vector<timeline_event>> parse_events(const json& events) {
    std::vector<timeline_event> out;
    for (const json& row : events) {
        if (!is_valid_event(row)) {
            return base::fail(base::error_code::protocol_violation,
                              "an event lacks wall_us, vm, incarnation or event");
        }
        out.push_back(parse_event(row));
    }
    return out;
}

void merge(timeline& merged, const base::address& address, base::result<std::vector<timeline_event>> events) {
    if (!events) {
        merged.unavailable_daemons.push_back({address, events.error()});
        return;
    }
    merged.events.insert(merged.events.end(), std::make_move_iterator(events->begin()),
                         std::make_move_iterator(events->end()));
    std::ranges::stable_sort(merged.events, {}, &timeline_event::wall_us);
}

std::string format_wall_time(std::int64_t wall_us) {
    using namespace std::chrono;
    const sys_time<microseconds> time{microseconds(wall_us)};
    const sys_time<seconds> whole_seconds = floor<seconds>(time);
    const std::time_t since_1970 = whole_seconds.time_since_epoch().count();
    std::tm utc{};
    gmtime_r(&since_1970, &utc);
    std::array<char, 32> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    const std::string fraction = std::to_string((time - whole_seconds).count());
    constexpr std::size_t fraction_digits = 6;
    return std::string(text.data(), size) + "." + std::string(fraction_digits - fraction.size(), '0') +
           fraction + "Z";
}

} // namespace rattanbay::ctl
