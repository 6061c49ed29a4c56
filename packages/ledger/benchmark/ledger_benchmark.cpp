// Measures what at-most-once execution costs, for the ways of table 4.1 of the design page: platform
// writes, bytes, added latency and processor time against bookings per second with a platform that
// answers after 3 ms; memory per key; and the share of replies with outcome unknown in the fuzzer's
// histories. Usage: ledger_benchmark [histories]

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

constexpr base::duration measured_time = 60s;
constexpr std::size_t answer_bytes = 200;
constexpr std::size_t full_segment = 64 * 1024;

struct figures {
    double writes_per_second = 0;
    double kilobytes_per_second = 0;
    double latency_p50_ms = 0;
    double latency_p99_ms = 0;
    double microseconds_per_booking = 0;
    std::size_t refused = 0;
};

ledger::owner_options options(std::size_t segment_threshold_bytes) {
    ledger::owner_options chosen;
    chosen.peer_address = {{127, 0, 1, 1}, 7100};
    chosen.cluster_secret = "secret of the benchmark";
    chosen.segment_threshold_bytes = segment_threshold_bytes;
    return chosen;
}

/// Bookings at random moments for a minute. Without a record nothing is written to the platform.
figures run_owner(double bookings_per_second, bool with_record, std::size_t segment_threshold_bytes) {
    test::single_owner own(options(segment_threshold_bytes), answer_bytes);
    own.set_platform_down(!with_record);
    own.run_for(1s);
    base::random_source random(2);
    const std::uint64_t writes = own.platform().writes();
    const std::uint64_t bytes = own.platform().written_bytes();
    const auto spent = own.spent();
    const base::time_point end = own.now() + measured_time;
    std::size_t sent = 0;
    while (own.now() < end) {
        own.book(with_record ? ledger::record_class::recorded : ledger::record_class::unrecorded);
        ++sent;
        const double gap = -std::log(1.0 - random.unit()) / bookings_per_second;
        own.run_for(base::duration(static_cast<base::duration::rep>(gap * 1e6) + 1));
    }
    std::vector<double> waits = own.waits();
    std::sort(waits.begin(), waits.end());
    const double seconds = base::to_milliseconds(measured_time) / 1000;
    const double microseconds = std::chrono::duration<double, std::micro>(own.spent() - spent).count();
    const auto refused =
        std::count_if(own.replies().begin(), own.replies().end(),
                      [](const ledger::reply& it) { return std::holds_alternative<base::problem>(it); });
    return {static_cast<double>(own.platform().writes() - writes) / seconds,
            static_cast<double>(own.platform().written_bytes() - bytes) / 1000 / seconds,
            waits[waits.size() / 2],
            waits[waits.size() * 99 / 100],
            microseconds / static_cast<double>(sent),
            static_cast<std::size_t>(refused)};
}

/// A conditional write before each run and one with the answer after it.
figures write_per_request(double bookings_per_second) {
    test::fake_platform store;
    const auto bookings = static_cast<std::size_t>(bookings_per_second * 60);
    for (std::size_t n = 0; n < bookings; ++n) {
        const object_api::object_key object{"requests", base::secure_hash(std::to_string(n)).text()};
        const std::string body = R"({"b":")" + base::fast_hash("body").text() + R"(","n":"0123456789abcdef")";
        const object_api::answer first =
            store.apply(object_api::write_object{object, std::nullopt, body + "}"}, {});
        const std::string whole = body + R"(,"s":200,"a":")" + std::string(answer_bytes, 'a') + R"("})";
        store.apply(object_api::write_object{object, std::get<object_api::written>(first).version, whole},
                    {});
    }
    const double latency = base::to_milliseconds(test::single_owner::platform_time);
    return {static_cast<double>(store.writes()) / 60,
            static_cast<double>(store.written_bytes()) / 60'000,
            latency,
            latency,
            0,
            0};
}

void print(const char* way, double rate, const figures& it) {
    std::printf("%-24s %9.0f %9.1f %9.1f %9.2f %9.2f %9.1f %8zu\n", way, rate, it.writes_per_second,
                it.kilobytes_per_second, it.latency_p50_ms, it.latency_p99_ms, it.microseconds_per_booking,
                it.refused);
}

void compare_costs() {
    std::printf("%-24s %9s %9s %9s %9s %9s %9s %8s\n", "way", "bookings", "writes/s", "kB/s", "p50 ms",
                "p99 ms", "us each", "refused");
    for (const double rate : {1.0, 10.0, 50.0, 100.0, 300.0, 1000.0}) {
        print("write per request", rate, write_per_request(rate));
        print("incarnation only", rate, run_owner(rate, false, full_segment));
        print("record, 64 KiB segments", rate, run_owner(rate, true, full_segment));
        print("record, 16 KiB segments", rate, run_owner(rate, true, full_segment / 4));
        print("record, 4 KiB segments", rate, run_owner(rate, true, full_segment / 16));
    }
}

/// Memory of an owner whose keys all have their replies, beside the record's head.
void measure_memory() {
    constexpr std::size_t keys = 100'000;
    ledger::owner_options chosen = options(full_segment);
    const ledger::key_prefix prefix{ledger::record_class::unrecorded, {}, 0, chosen.peer_address};
    base::time_point now(1h);
    const std::size_t before = mallinfo2().uordblks;
    ledger::owner own(chosen, base::random_source(1), now);
    for (std::size_t n = 0; n < keys; ++n) {
        ledger::key_prefix current = own.current_prefix();
        current.recording = prefix.recording;
        const ledger::keyed_request request{n,
                                            base::account_id("planners"),
                                            {current, "order-" + std::to_string(n)},
                                            base::fast_hash("body"),
                                            now + 5s};
        for (const ledger::owner_action& action : own.handle(ledger::request_arrived{request}, now)) {
            if (const auto* start = std::get_if<ledger::start_run>(&action)) {
                own.handle(
                    ledger::run_ended{start->run, ledger::response{200, std::string(answer_bytes, 'a')}},
                    now);
            }
        }
    }
    // Up to 1 MB of replies wait for commits, as the platform does not answer here.
    const std::size_t bytes = mallinfo2().uordblks - before;
    std::printf("memory per key with an answer of %zu bytes: %zu bytes\n", answer_bytes, bytes / keys);
}

/// Whether a step belongs to the mix; the ranges are those of history.cpp.
using step_filter = bool (*)(const test::command&);

bool is_any(const test::command& /*it*/) {
    return true;
}

bool is_fault_of_platform(const test::command& it) {
    return it.what < 53 || (it.what >= 75 && it.what < 83) || it.what >= 93;
}

bool is_fault_of_vm(const test::command& it) {
    return it.what < 75 || it.what >= 89;
}

void play_mix(const char* mix, step_filter taken, std::size_t histories) {
    constexpr std::array<std::pair<test::approach, const char*>, 3> ways{{
        {test::approach::write_per_request, "write per request"},
        {test::approach::incarnation_only, "incarnation only"},
        {test::approach::group_committed_record, "group-committed record"},
    }};
    for (const auto& [way, name] : ways) {
        base::random_source random(20261204);
        test::totals sum;
        for (std::size_t n = 0; n < histories; ++n) {
            std::vector<test::command> history(test::steps_per_history);
            for (test::command& it : history) {
                for (int* part : {&it.what, &it.which, &it.other, &it.pace}) {
                    *part = static_cast<int>(random.below(test::command_range));
                }
                it = taken(it) ? it : test::command();
            }
            test::play(history, random.bits(), sum, way);
        }
        const double percent = 100.0 / static_cast<double>(sum.replies);
        std::printf("%-16s %-24s %zu histories, %zu replies, unknown %.1f%%, answers %.1f%%\n", mix, name,
                    sum.histories, sum.replies, percent * static_cast<double>(sum.unknowns),
                    percent * static_cast<double>(sum.answers));
        for (const auto& [detail, count] : sum.unknowns_by_detail) {
            std::printf("    %6.1f%% %s\n", percent * static_cast<double>(count), detail.c_str());
        }
    }
}

void compare_unknowns(std::size_t histories) {
    play_mix("all faults", is_any, histories);
    play_mix("platform faults", is_fault_of_platform, histories);
    play_mix("VM faults", is_fault_of_vm, histories);
}

} // namespace

int main(int argc, char** argv) {
    constexpr std::size_t default_histories = 2000;
    compare_costs();
    measure_memory();
    compare_unknowns(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : default_histories);
}
