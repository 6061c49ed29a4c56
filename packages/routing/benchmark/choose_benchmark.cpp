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

constexpr std::size_t domains = 4;
constexpr std::array<std::size_t, 4> endpoint_counts{10, 100, 1000, 11'000};
constexpr std::array<std::size_t, 2> thread_counts{1, 4};
const base::service_name service("writer");

routing::endpoint_table make_table(std::size_t endpoints) {
    rattanbay::config::environment_document document;
    document.services[service].name = service;
    document.services[service].expected_duration = std::chrono::milliseconds(20);
    document.services[service].max_concurrency = 8;
    rattanbay::object_api::vm_list list;
    for (std::size_t n = 0; n < endpoints; ++n) {
        const base::failure_domain domain(std::string(1, static_cast<char>('a' + n % domains)));
        const auto port = static_cast<std::uint16_t>(1 + n);
        list.vms.push_back(
            {base::vm_id("writer" + std::to_string(n)), service, {{10, 0, 0, 1}, port}, domain, {}});
    }
    return {list, document};
}

/// Nanoseconds per call of `choose`, as one thread of `threads` sees them.
double measure(std::size_t endpoints, std::size_t threads, bool affinity) {
    constexpr std::size_t calls = 200'000;
    routing::router routes{base::failure_domain("a")};
    routes.publish(make_table(endpoints));
    const base::time_point now{std::chrono::seconds(1000)};
    std::atomic<std::size_t> chosen{0};
    const auto work = [&](std::size_t seed) {
        base::random_source random(seed);
        std::size_t found = 0;
        for (std::size_t n = 0; n < calls; ++n) {
            routing::route_request request;
            request.service = service;
            request.affinity = affinity ? std::optional(random.bits()) : std::nullopt;
            found += routes.choose(request, now, random) ? 1 : 0;
        }
        chosen += found;
    };
    std::vector<std::thread> running(threads);
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < threads; ++n) {
        running[n] = std::thread(work, n + 1);
    }
    for (std::thread& one : running) {
        one.join();
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - begin;
    if (chosen != calls * threads) {
        std::cerr << "some calls found no endpoint\n";
        std::exit(EXIT_FAILURE);
    }
    return took.count() / calls;
}

} // namespace

/// Prints the time of `choose` by the number of endpoints and threads.
int main() {
    std::cout << "| endpoints | threads | ns per choice | ns per choice with affinity |\n|---|---|---|---|\n";
    for (const std::size_t endpoints : endpoint_counts) {
        for (const std::size_t threads : thread_counts) {
            std::cout << "| " << endpoints << " | " << threads << " | " << measure(endpoints, threads, false)
                      << " | " << measure(endpoints, threads, true) << " |\n";
        }
    }
    return EXIT_SUCCESS;
}
