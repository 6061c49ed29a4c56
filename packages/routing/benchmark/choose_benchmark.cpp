#include <rattanbay/routing.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace base = rattanbay::base;
namespace routing = rattanbay::routing;

namespace {

constexpr std::size_t domain_count = 4;
constexpr std::array<std::size_t, 4> endpoint_counts{10, 100, 1000, 11'000};
constexpr std::array<std::size_t, 2> thread_counts{1, 4};
const base::service_name service("writer");

routing::endpoint_table make_table(std::size_t endpoint_count) {
    rattanbay::config::environment_document document;
    document.services[service].name = service;
    document.services[service].expected_duration = std::chrono::milliseconds(20);
    document.services[service].max_concurrency = 8;
    rattanbay::object_api::vm_list vms;
    for (std::size_t n = 0; n < endpoint_count; ++n) {
        const base::failure_domain domain(std::string(1, static_cast<char>('a' + n % domain_count)));
        const auto port = static_cast<std::uint16_t>(1 + n);
        vms.vms.push_back(
            {base::vm_id("writer" + std::to_string(n)), service, {{10, 0, 0, 1}, port}, domain, {}});
    }
    return {vms, document};
}

/// Measures the time per call of `router::choose` in each of `thread_count` concurrent threads.
double nanoseconds_per_choice(std::size_t endpoint_count, std::size_t thread_count, bool affinity) {
    constexpr std::size_t calls_per_thread = 200'000;
    routing::router router{base::failure_domain("a")};
    router.publish(make_table(endpoint_count));
    const base::time_point now{std::chrono::seconds(1000)};
    std::atomic<std::size_t> successful_choices{0};
    const auto run_thread = [&](std::size_t seed) {
        base::random_source random(seed);
        std::size_t count = 0;
        for (std::size_t n = 0; n < calls_per_thread; ++n) {
            routing::route_request request;
            request.service = service;
            request.affinity = affinity ? std::optional(random.bits()) : std::nullopt;
            count += router.choose(request, now, random) ? 1 : 0;
        }
        successful_choices += count;
    };
    std::vector<std::thread> workers(thread_count);
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < thread_count; ++n) {
        workers[n] = std::thread(run_thread, n + 1);
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
    if (successful_choices != calls_per_thread * thread_count) {
        std::cerr << "some calls found no endpoint\n";
        std::exit(EXIT_FAILURE);
    }
    return elapsed.count() / calls_per_thread;
}

} // namespace

/// Prints the time per call of `router::choose` by number of endpoints and threads.
int main() {
    std::cout << "| endpoints | threads | ns per choice | ns per choice with affinity |\n|---|---|---|---|\n";
    for (const std::size_t endpoint_count : endpoint_counts) {
        for (const std::size_t thread_count : thread_counts) {
            std::cout << "| " << endpoint_count << " | " << thread_count << " | "
                      << nanoseconds_per_choice(endpoint_count, thread_count, false) << " | "
                      << nanoseconds_per_choice(endpoint_count, thread_count, true) << " |\n";
        }
    }
    return EXIT_SUCCESS;
}
