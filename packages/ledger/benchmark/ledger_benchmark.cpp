// Measures the cost of at-most-once execution for the strategies in table 4.1 of the design page: platform
// writes, written bytes, added latency and processor time by booking rate, with a platform that answers after
// 3 ms; memory per key; and the share of replies with outcome `unknown` in random histories.
//
// Usage: ledger_benchmark [histories]

#include "history.hpp"
#include "single_owner.hpp"

#include <rattanbay/ledger.hpp>

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

namespace base = rattanbay::base;
namespace ledger = rattanbay::ledger;
namespace object_api = rattanbay::object_api;
namespace test = rattanbay::ledger::test;
using namespace std::chrono_literals;

constexpr base::duration measurement_duration = 60s;
constexpr std::size_t response_bytes = 200;
constexpr std::size_t largest_segment_bytes = 64 * 1024;

struct cost_measurement {
    double writes_per_second = 0;
    double kilobytes_per_second = 0;
    double latency_p50_ms = 0;
    double latency_p99_ms = 0;
    double microseconds_per_booking = 0;
    std::size_t refused = 0;
};

ledger::owner_options make_options(std::size_t segment_threshold_bytes) {
    ledger::owner_options options;
    options.peer_address = {{127, 0, 1, 1}, 7100};
    options.cluster_secret = "secret of the benchmark";
    options.segment_threshold_bytes = segment_threshold_bytes;
    return options;
}

/// Sends bookings with exponentially distributed intervals for a minute. With unrecorded keys the platform is
/// down and nothing is written.
cost_measurement measure_owner(double bookings_per_second, bool recorded,
                               std::size_t segment_threshold_bytes) {
    test::single_owner simulation(make_options(segment_threshold_bytes), response_bytes);
    simulation.set_platform_down(!recorded);
    simulation.run_for(1s);
    base::random_source random(2);
    const std::uint64_t writes = simulation.platform().writes();
    const std::uint64_t bytes = simulation.platform().written_bytes();
    const auto processor_time = simulation.processor_time();
    const base::time_point end = simulation.now() + measurement_duration;
    std::size_t sent = 0;
    while (simulation.now() < end) {
        simulation.send_booking(recorded ? ledger::record_class::recorded : ledger::record_class::unrecorded);
        ++sent;
        const double interval = -std::log(1.0 - random.unit()) / bookings_per_second;
        simulation.run_for(base::duration(static_cast<base::duration::rep>(interval * 1e6) + 1));
    }
    std::vector<double> start_delays_ms = simulation.start_delays_ms();
    std::sort(start_delays_ms.begin(), start_delays_ms.end());
    const double seconds = base::to_milliseconds(measurement_duration) / 1000;
    const double microseconds =
        std::chrono::duration<double, std::micro>(simulation.processor_time() - processor_time).count();
    const auto refused =
        std::count_if(simulation.replies().begin(), simulation.replies().end(),
                      [](const ledger::reply& it) { return std::holds_alternative<base::problem>(it); });
    return {static_cast<double>(simulation.platform().writes() - writes) / seconds,
            static_cast<double>(simulation.platform().written_bytes() - bytes) / 1000 / seconds,
            start_delays_ms[start_delays_ms.size() / 2],
            start_delays_ms[start_delays_ms.size() * 99 / 100],
            microseconds / static_cast<double>(sent),
            static_cast<std::size_t>(refused)};
}

/// Cost of one conditional write before each run and one with the response after it.
cost_measurement measure_write_per_request(double bookings_per_second) {
    test::fake_platform platform;
    const auto bookings = static_cast<std::size_t>(bookings_per_second * 60);
    for (std::size_t n = 0; n < bookings; ++n) {
        const object_api::object_key object{"requests", base::secure_hash(std::to_string(n)).text()};
        const std::string body = R"({"b":")" + base::fast_hash("body").text() + R"(","n":"0123456789abcdef")";
        const object_api::answer first =
            platform.apply(object_api::write_object{object, std::nullopt, body + "}"}, {});
        const std::string value = body + R"(,"s":200,"a":")" + std::string(response_bytes, 'a') + R"("})";
        platform.apply(object_api::write_object{object, std::get<object_api::written>(first).version, value},
                       {});
    }
    const double latency = base::to_milliseconds(test::single_owner::platform_latency);
    return {static_cast<double>(platform.writes()) / 60,
            static_cast<double>(platform.written_bytes()) / 60'000,
            latency,
            latency,
            0,
            0};
}

void print_costs(const char* strategy, double rate, const cost_measurement& it) {
    std::printf("%-24s %9.0f %9.1f %9.1f %9.2f %9.2f %9.1f %8zu\n", strategy, rate, it.writes_per_second,
                it.kilobytes_per_second, it.latency_p50_ms, it.latency_p99_ms, it.microseconds_per_booking,
                it.refused);
}

void compare_costs() {
    std::printf("%-24s %9s %9s %9s %9s %9s %9s %8s\n", "strategy", "bookings", "writes/s", "kB/s", "p50 ms",
                "p99 ms", "us each", "refused");
    for (const double rate : {1.0, 10.0, 50.0, 100.0, 300.0, 1000.0}) {
        print_costs("write per request", rate, measure_write_per_request(rate));
        print_costs("incarnation only", rate, measure_owner(rate, false, largest_segment_bytes));
        print_costs("record, 64 KiB segments", rate, measure_owner(rate, true, largest_segment_bytes));
        print_costs("record, 16 KiB segments", rate, measure_owner(rate, true, largest_segment_bytes / 4));
        print_costs("record, 4 KiB segments", rate, measure_owner(rate, true, largest_segment_bytes / 16));
    }
}

/// Measures the memory usage of an owner per key that has its reply.
void measure_memory() {
    constexpr std::size_t key_count = 100'000;
    ledger::owner_options options = make_options(largest_segment_bytes);
    const ledger::key_prefix prefix{ledger::record_class::unrecorded, {}, 0, options.peer_address};
    base::time_point now(1h);
    const std::size_t before = mallinfo2().uordblks;
    ledger::owner owner(options, base::random_source(1), now);
    for (std::size_t n = 0; n < key_count; ++n) {
        ledger::key_prefix current = owner.current_prefix();
        current.recording = prefix.recording;
        const ledger::keyed_request request{n,
                                            base::account_id("planners"),
                                            {current, "order-" + std::to_string(n)},
                                            base::fast_hash("body"),
                                            now + 5s};
        for (const ledger::owner_action& action : owner.handle(ledger::request_arrived{request}, now)) {
            if (const auto* start = std::get_if<ledger::start_run>(&action)) {
                owner.handle(
                    ledger::run_ended{start->run, ledger::response{200, std::string(response_bytes, 'a')}},
                    now);
            }
        }
    }
    // Includes up to 1 MB of replies that wait for a commit, as the platform never answers here.
    const std::size_t bytes = mallinfo2().uordblks - before;
    std::printf("memory per key with an answer of %zu bytes: %zu bytes\n", response_bytes, bytes / key_count);
}

/// Whether a step belongs to a mix of faults. The ranges of step kinds are those of history.cpp.
using step_filter = bool (*)(const test::history_step&);

bool any_step(const test::history_step& /*it*/) {
    return true;
}

bool is_caller_or_platform_step(const test::history_step& it) {
    return it.kind < 53 || (it.kind >= 75 && it.kind < 83) || it.kind >= 93;
}

bool is_caller_or_vm_step(const test::history_step& it) {
    return it.kind < 75 || it.kind >= 89;
}

void run_mix(const char* mix, step_filter filter, std::size_t histories) {
    constexpr std::array<std::pair<test::execution_strategy, const char*>, 3> strategies{{
        {test::execution_strategy::write_per_request, "write per request"},
        {test::execution_strategy::incarnation_only, "incarnation only"},
        {test::execution_strategy::group_committed_record, "group-committed record"},
    }};
    for (const auto& [strategy, name] : strategies) {
        base::random_source random(20261204);
        test::history_totals totals;
        for (std::size_t n = 0; n < histories; ++n) {
            std::vector<test::history_step> history(test::steps_per_history);
            for (test::history_step& it : history) {
                for (int* value : {&it.kind, &it.target, &it.argument, &it.delay}) {
                    *value = static_cast<int>(random.below(test::step_value_range));
                }
                it = filter(it) ? it : test::history_step();
            }
            test::run_history(history, random.bits(), totals, strategy);
        }
        const double percent = 100.0 / static_cast<double>(totals.replies);
        std::printf("%-16s %-24s %zu histories, %zu replies, unknown %.1f%%, answers %.1f%%\n", mix, name,
                    totals.histories, totals.replies, percent * static_cast<double>(totals.unknown_replies),
                    percent * static_cast<double>(totals.responses));
        for (const auto& [detail, count] : totals.unknown_replies_by_detail) {
            std::printf("    %6.1f%% %s\n", percent * static_cast<double>(count), detail.c_str());
        }
    }
}

void compare_unknowns(std::size_t histories) {
    run_mix("all faults", any_step, histories);
    run_mix("platform faults", is_caller_or_platform_step, histories);
    run_mix("VM faults", is_caller_or_vm_step, histories);
}

} // namespace

int main(int argc, char** argv) {
    constexpr std::size_t default_histories = 2000;
    compare_costs();
    measure_memory();
    compare_unknowns(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : default_histories);
}
