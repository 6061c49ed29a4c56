// Measures the user CPU time and memory of a daemon's control work as a function of its size: membership,
// documents, endpoint tables, account limits and the time line. Uses no network.
// Usage: capacity_benchmark [all|membership|lost-domain|tables]

#include "allocation_counter.hpp"

#include <rattanbay/config.hpp>
#include <rattanbay/limits.hpp>
#include <rattanbay/membership.hpp>
#include <rattanbay/peer.hpp>
#include <rattanbay/routing.hpp>
#include <rattanbay/telemetry/timeline.hpp>

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace {

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace limits = rattanbay::limits;
namespace membership = rattanbay::membership;
namespace peer = rattanbay::peer;
namespace object_api = rattanbay::object_api;
namespace routing = rattanbay::routing;
namespace telemetry = rattanbay::telemetry;
using namespace std::chrono_literals;
using rattanbay::capacity_benchmark::live_bytes;
using rattanbay::capacity_benchmark::peak_bytes;
using rattanbay::capacity_benchmark::reset_peak;

constexpr std::size_t failure_domains = 10;
constexpr std::size_t model_services = 29;
/// Services of all stages but the last; model engines can serve only the last stage.
constexpr std::size_t worker_pools = 6;
constexpr std::size_t pipelines = 26;
constexpr std::size_t design_daemons = 320;
/// Each measurement repeats its work for at least this much user time and reports the mean.
constexpr double min_measured_us = 200'000;
const std::string cluster_secret = "secret of the benchmark";

/// User CPU time of the process, in microseconds.
double user_time_us() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double us_per_s = 1e6;
    return static_cast<double>(usage.ru_utime.tv_sec) * us_per_s +
           static_cast<double>(usage.ru_utime.tv_usec);
}

[[noreturn]] void fail(const char* reason) {
    std::fprintf(stderr, "%s\n", reason);
    std::exit(EXIT_FAILURE);
}

/// Prints one row of the result table.
void print(const char* work, const char* size_unit, double size, const char* unit, double value) {
    std::printf("| %s | %g %s | %.6g | %s |\n", work, size, size_unit, value, unit);
}

/// Mean user time of one call of `work`, in microseconds.
double mean_us(const std::function<void()>& work) {
    std::size_t calls = 0;
    const double start = user_time_us();
    double elapsed = 0;
    while (elapsed < min_measured_us) {
        work();
        ++calls;
        elapsed = user_time_us() - start;
    }
    return elapsed / static_cast<double>(calls);
}

base::failure_domain domain_of(std::size_t n) {
    return base::failure_domain("domain-" + std::to_string(n % failure_domains));
}

/// Peer address of daemon `n`; `cluster::index_of` is the inverse.
base::address address_of(std::size_t n) {
    const auto third_octet = static_cast<std::uint8_t>(n / 250);
    return {{10, 1, third_octet, static_cast<std::uint8_t>(n % 250 + 1)}, 7000};
}

peer::member_record make_member(std::size_t n, base::random_source& random) {
    peer::member_record record;
    record.id = base::incarnation::generate(random);
    record.ledger = base::incarnation::generate(random);
    record.vm = base::vm_id("entry-" + std::to_string(n));
    record.failure_domain = domain_of(n);
    record.peer_address = address_of(n);
    record.caller_address = address_of(n);
    record.sequence = 1;
    record.revision = 1;
    record.ledger_recorded = true;
    record.vm_list_change = {1, 1'000'000};
    return record;
}

/// Simulates the failure detectors of all daemons, with a simulated clock and a network without loss and with
/// 5 ms one-way delay.
class cluster {
public:
    explicit cluster(std::size_t size)
        : random_(size) {
        std::vector<peer::member_record> records;
        for (std::size_t n = 0; n < size; ++n) {
            records.push_back(make_member(n, random_));
        }
        membership::detector_options options;
        options.seeds = {address_of(0), address_of(1)};
        for (const peer::member_record& self : records) {
            detectors_.emplace_back(options, self, base::random_source(random_.bits()), now_);
        }
        for (std::size_t n = 0; n < size; ++n) {
            handle(n, membership::member_table_received{records});
        }
    }

    /// Processes all events of the next `duration` of simulated time.
    void advance(base::duration duration) {
        const base::time_point end = now_ + duration;
        while (!events_.empty() && events_.top().at <= end) {
            const event scheduled = events_.top();
            events_.pop();
            now_ = std::max(now_, scheduled.at);
            if (is_stopped(scheduled.to)) {
                continue;
            }
            if (!scheduled.bytes.empty()) {
                receive(scheduled);
            } else if (detectors_[scheduled.to].next_wakeup() <= now_) {
                handle(scheduled.to, membership::timer_expired{});
            }
        }
        now_ = end;
    }

    /// A random daemon adopts a new document; the others adopt it as soon as they learn its revision.
    void adopt_new_document() {
        ++newest_revision_;
        adopt(random_.below(detectors_.size()), newest_revision_);
    }

    /// Stops all daemons of the first failure domain at the same time.
    void stop_domain() { domain_stopped_ = true; }

    /// Number of records with this status that running daemons hold for stopped ones.
    std::size_t count_stopped_records(peer::member_status status) const {
        std::size_t count = 0;
        for (std::size_t n = 0; n < detectors_.size(); ++n) {
            if (is_stopped(n)) {
                continue;
            }
            for (const peer::member_record& record : detectors_[n].members()) {
                count += record.status == status && is_stopped(index_of(record.peer_address)) ? 1 : 0;
            }
        }
        return count;
    }

    std::size_t sent_bytes() const { return sent_bytes_; }

    std::size_t sent_datagrams() const { return sent_datagrams_; }

    const membership::detector& first() const { return detectors_.front(); }

private:
    struct event {
        base::time_point at;
        std::size_t from = 0;
        std::size_t to = 0;
        /// Encoded datagram; empty for a wakeup of the daemon.
        std::string bytes;

        /// Reversed, so that the priority queue returns the earliest event first.
        friend bool operator<(const event& left, const event& right) { return left.at > right.at; }
    };

    static std::size_t index_of(const base::address& address) {
        return static_cast<std::size_t>(address.ip[2]) * 250 + address.ip[3] - 1U;
    }

    bool is_stopped(std::size_t n) const { return domain_stopped_ && n % failure_domains == 0; }

    void receive(const event& delivered) {
        const base::result<peer::datagram> message = peer::decode_datagram(delivered.bytes, cluster_secret);
        if (!message) {
            fail("a datagram could not be decoded");
        }
        handle(delivered.to, membership::datagram_received{address_of(delivered.from), *message});
    }

    void adopt(std::size_t n, std::uint64_t revision) {
        peer::member_record self = detectors_[n].self();
        if (revision > self.revision) {
            self.revision = revision;
            handle(n, membership::self_changed{self});
        }
    }

    void handle(std::size_t n, const membership::event& input) {
        for (const membership::action& action : detectors_[n].handle(input, now_)) {
            if (const auto* send = std::get_if<membership::send_datagram>(&action)) {
                std::string bytes = peer::encode(send->message, cluster_secret);
                sent_bytes_ += bytes.size();
                sent_datagrams_ += 1;
                events_.push({now_ + 5ms, n, index_of(send->to), std::move(bytes)});
            } else if (const auto* seen = std::get_if<membership::revision_seen>(&action)) {
                adopt(n, seen->revision);
            }
        }
        events_.push({detectors_[n].next_wakeup(), n, n, {}});
    }

    base::random_source random_;
    base::time_point now_{1h};
    std::vector<membership::detector> detectors_;
    std::priority_queue<event> events_;
    std::size_t sent_bytes_ = 0;
    std::size_t sent_datagrams_ = 0;
    std::uint64_t newest_revision_ = 1;
    bool domain_stopped_ = false;
};

/// Stops one failure domain and measures, by the simulated seconds since then, which share of the records of
/// stopped daemons the running daemons still hold as live.
void measure_stopped_domain(std::size_t size, std::size_t warm_up_s) {
    constexpr std::array<std::size_t, 6> checkpoints_s{5, 10, 20, 30, 60, 120};
    cluster daemons(size);
    daemons.advance(std::chrono::seconds(warm_up_s));
    daemons.stop_domain();
    const std::size_t stopped = size / failure_domains;
    const auto records = static_cast<double>(stopped * (size - stopped));
    std::size_t elapsed_s = 0;
    for (const std::size_t seconds : checkpoints_s) {
        daemons.advance(std::chrono::seconds(seconds - elapsed_s));
        elapsed_s = seconds;
        constexpr double percent = 100;
        const std::string work = "lost domain, held as live after " + std::to_string(seconds) + " s, " +
                                 std::to_string(warm_up_s) + " s after the start";
        const auto live = static_cast<double>(daemons.count_stopped_records(peer::member_status::live));
        print(work.c_str(), "members", static_cast<double>(size), "% of records", percent * live / records);
    }
}

/// Measures 30 simulated seconds in which `changes` documents are adopted.
void measure_membership(std::size_t size, std::size_t changes, const char* label) {
    constexpr std::size_t steps = 30;
    const std::size_t before = live_bytes();
    cluster daemons(size);
    daemons.advance(10s);
    const std::size_t held_bytes = live_bytes() - before;
    const std::size_t bytes = daemons.sent_bytes();
    const std::size_t datagrams = daemons.sent_datagrams();
    const double start = user_time_us();
    for (std::size_t n = 0; n < steps; ++n) {
        if (n * changes / steps != (n + 1) * changes / steps) {
            daemons.adopt_new_document();
        }
        daemons.advance(1s);
    }
    const double daemon_seconds = static_cast<double>(size * steps);
    const auto count = static_cast<double>(size);
    const std::string name = std::string("membership") + label;
    print(name.c_str(), "members", count, "us/s", (user_time_us() - start) / daemon_seconds);
    print(name.c_str(), "members", count, "B/s sent",
          static_cast<double>(daemons.sent_bytes() - bytes) / daemon_seconds);
    print(name.c_str(), "members", count, "datagrams/s sent",
          static_cast<double>(daemons.sent_datagrams() - datagrams) / daemon_seconds);
    if (changes == 0) {
        print("membership, table", "members", count, "B held", static_cast<double>(held_bytes) / count);
        const std::vector<peer::member_record> members = daemons.first().members();
        base::random_source random(1);
        print("entry list for one caller", "members", count, "us",
              mean_us([&] { membership::select_entries(members, random); }));
        const std::string frame =
            peer::encode(peer::frame(peer::state_reply{{}, {}, members}), cluster_secret);
        print("state reply, members only", "members", count, "B", static_cast<double>(frame.size()));
    }
}

std::string service_name(std::size_t n) {
    return "model-" + std::to_string(n % model_services);
}

std::string document_text(std::size_t accounts, std::uint64_t revision) {
    nlohmann::json document;
    document["revision"] = revision;
    document["cost_weight"] = 0.3;
    document["max_concurrent_requests"] = 512;
    for (std::size_t n = 0; n < model_services; ++n) {
        document["services"][service_name(n)] = {{"kind", "model_engine"},
                                                 {"expected_ms", 400},
                                                 {"concurrency", 8},
                                                 {"reports_load", true},
                                                 {"checks_fencing", true}};
    }
    for (std::size_t n = 0; n < worker_pools; ++n) {
        document["services"]["workers-" + std::to_string(n)] = {
            {"kind", "worker_pool"}, {"expected_ms", 20}, {"concurrency", 16}, {"reports_load", true}};
    }
    for (std::size_t n = 0; n < pipelines; ++n) {
        nlohmann::json stages = nlohmann::json::array();
        const std::size_t pool_stages = 2 + n % 4;
        for (std::size_t stage = 0; stage < pool_stages; ++stage) {
            stages.push_back({{"name", "stage-" + std::to_string(stage)},
                              {"service", "workers-" + std::to_string((n + stage) % worker_pools)}});
        }
        stages.push_back({{"name", "generate"}, {"service", service_name(n)}});
        document["pipelines"]["pipeline-" + std::to_string(n)] = {{"deadline_ms", 8000}, {"stages", stages}};
    }
    for (std::size_t n = 0; n < accounts; ++n) {
        document["accounts"]["account-" + std::to_string(n)] = {
            {"token_sha256", base::sha256_hex("token " + std::to_string(n))},
            {"requests_per_second", 50},
            {"burst", 100},
            {"concurrency", 64},
            {"priority", 0}};
    }
    return document.dump(2);
}

config::environment_document parse_document(const std::string& text) {
    config::validation_result<config::environment_document> document =
        config::environment_document::parse(text);
    if (!document) {
        fail(document.error().front().message.c_str());
    }
    return std::move(*document);
}

void measure_document(std::size_t accounts) {
    const auto count = static_cast<double>(accounts);
    const std::string text = document_text(accounts, 1);
    print("document, text", "accounts", count, "B", static_cast<double>(text.size()));
    const config::validation_result<config::environment_document> checked =
        config::environment_document::parse(text);
    if (!checked) {
        const std::string work = "document, refused: " + checked.error().front().message;
        print(work.c_str(), "accounts", count, "findings", static_cast<double>(checked.error().size()));
        return;
    }
    const std::size_t before = live_bytes();
    reset_peak();
    const config::environment_document document = parse_document(text);
    print("document, held", "accounts", count, "B", static_cast<double>(live_bytes() - before));
    print("document, peak of parse", "accounts", count, "B", static_cast<double>(peak_bytes() - before));
    print("document, parse", "accounts", count, "us", mean_us([&] { parse_document(text); }));
    const config::document_object object = config::document_object::of(document);
    const std::string value = object.serialize();
    print("document, platform value", "accounts", count, "B", static_cast<double>(value.size()));
    print("document, offer to adopt", "accounts", count, "us", mean_us([&] {
              config::document_adoption adoption;
              if (!std::holds_alternative<config::document_adopted>(adoption.offer(object))) {
                  fail("the document was not adopted");
              }
          }));
    config::document_adoption adoption;
    adoption.offer(object);
    print("document, offer of the same again", "accounts", count, "us",
          mean_us([&] { adoption.offer_serialized(value); }));
}

object_api::vm_list make_vm_list(std::size_t endpoints) {
    object_api::vm_list list;
    list.version = {0, 1};
    for (std::size_t n = 0; n < endpoints; ++n) {
        const auto third_octet = static_cast<std::uint8_t>(n / 250);
        const base::address address{{10, 2, third_octet, static_cast<std::uint8_t>(n % 250 + 1)}, 8000};
        list.vms.push_back({base::vm_id("replica-" + std::to_string(n)), base::service_name(service_name(n)),
                            address, domain_of(n / model_services), object_api::vm_state::live});
    }
    return list;
}

/// VM list in the JSON format of the platform API (docs/design.md, section 9).
std::string to_json(const object_api::vm_list& list) {
    nlohmann::json vms = nlohmann::json::array();
    for (const object_api::vm& vm : list.vms) {
        vms.push_back({{"id", vm.id.text()},
                       {"service", vm.service.text()},
                       {"address", vm.address.text()},
                       {"failure_domain", vm.failure_domain.text()},
                       {"state", std::string(base::to_name(vm.state))}});
    }
    return nlohmann::json{{"version", list.version.number()}, {"vms", vms}}.dump();
}

void measure_endpoints(std::size_t endpoints, const config::environment_document& document) {
    const auto count = static_cast<double>(endpoints);
    std::size_t before = live_bytes();
    const object_api::vm_list list = make_vm_list(endpoints);
    print("VM list, held", "endpoints", count, "B", static_cast<double>(live_bytes() - before));
    before = live_bytes();
    const routing::endpoint_table table(list, document);
    print("endpoint table, held", "endpoints", count, "B", static_cast<double>(live_bytes() - before));
    print("endpoint table, build", "endpoints", count, "us",
          mean_us([&] { const routing::endpoint_table built(list, document); }));
    before = live_bytes();
    routing::router router{domain_of(0)};
    router.publish(table);
    print("router, held", "endpoints", count, "B", static_cast<double>(live_bytes() - before));
    reset_peak();
    router.publish(table);
    print("router, peak of publish", "endpoints", count, "B", static_cast<double>(peak_bytes() - before));
    print("router, publish", "endpoints", count, "us", mean_us([&] { router.publish(table); }));
    const base::time_point now{1h};
    print("router, load reports of all endpoints", "endpoints", count, "us", mean_us([&] {
              for (const object_api::vm& vm : list.vms) {
                  router.load_reported(base::endpoint_id(vm.id.text()), {4, 2, 100ms}, now);
              }
          }));
    const std::string text = to_json(list);
    print("VM list, JSON text", "endpoints", count, "B", static_cast<double>(text.size()));
    print("VM list, JSON parse to a tree", "endpoints", count, "us", mean_us([&] {
              if (nlohmann::json::parse(text).empty()) {
                  fail("the list could not be parsed");
              }
          }));
    const std::string frame = peer::encode(peer::frame(peer::state_reply{{}, list, {}}), cluster_secret);
    print("state reply, VM list only", "endpoints", count, "B", static_cast<double>(frame.size()));
    print("state reply, encode", "endpoints", count, "us", mean_us([&] {
              peer::encode(peer::frame(peer::state_reply{{}, list, {}}), cluster_secret);
          }));
    const std::string_view body = std::string_view(frame).substr(peer::frame_header_bytes);
    print("state reply, decode", "endpoints", count, "us", mean_us([&] {
              if (!peer::decode_frame(body, cluster_secret)) {
                  fail("a frame could not be decoded");
              }
          }));
}

void measure_limits(std::size_t accounts) {
    const auto count = static_cast<double>(accounts);
    const config::environment_document document = parse_document(document_text(accounts, 1));
    const std::size_t before = live_bytes();
    limits::account_limits table;
    table.configure(document, design_daemons);
    print("account limits, held", "accounts", count, "B", static_cast<double>(live_bytes() - before));
    print("account limits, configure again", "accounts", count, "us",
          mean_us([&] { table.configure(document, design_daemons); }));
    std::vector<base::account_id> names;
    for (const auto& [name, account] : document.accounts) {
        names.push_back(name);
    }
    constexpr std::size_t batch = 1000;
    std::size_t next = 0;
    base::time_point now(1h);
    print("account limits, 1000 admits", "accounts", count, "us", mean_us([&] {
              for (std::size_t n = 0; n < batch; ++n) {
                  now += 1ms;
                  table.admit(names[next++ % names.size()], now);
              }
          }));
}

/// Records the start and end events of attempts, which make up most of a time line.
void measure_timeline(std::size_t capacity) {
    const auto count = static_cast<double>(capacity);
    const std::size_t before = live_bytes();
    telemetry::timeline events(capacity);
    std::size_t recorded = 0;
    const auto record_attempt = [&] {
        const base::request_id request("request-0123456789abcdef-" + std::to_string(recorded));
        const std::string attempt = request.text() + "/generate/" + std::to_string(recorded);
        events.record({0,
                       request,
                       telemetry::timeline_event::attempt_started,
                       {{"stage", "generate"},
                        {"attempt", attempt},
                        {"endpoint", "replica-1234"},
                        {"address", "10.2.3.4:8000"}}});
        events.record({0,
                       request,
                       telemetry::timeline_event::attempt_ended,
                       {{"attempt", attempt}, {"result", "succeeded"}, {"us", "400000"}}});
        recorded += 2;
    };
    while (recorded < capacity) {
        record_attempt();
    }
    print("time line, held", "events", count, "B", static_cast<double>(live_bytes() - before));
    print("time line, two events", "events", count, "us", mean_us(record_attempt));
}

void measure_memberships() {
    for (const std::size_t size : {8U, 80U, 320U, 640U}) {
        measure_membership(size, 0, "");
    }
    // 26,000 changes per day are 9 in 30 s.
    constexpr std::size_t design_changes = 9;
    for (const std::size_t size : {8U, 80U, 320U, 640U}) {
        measure_membership(size, design_changes, ", 0.3 changes/s");
    }
}

void measure_stopped_domains() {
    for (const std::size_t size : {80U, 160U, 320U}) {
        // The member table received at the start is disseminated as updates and delays other updates until
        // it has been passed on.
        measure_stopped_domain(size, 10);
        measure_stopped_domain(size, size * 9 / 4);
    }
}

void measure_tables() {
    for (const std::size_t accounts : {5U, 240U, 1200U, 2400U, 4800U}) {
        measure_document(accounts);
    }
    const config::environment_document document = parse_document(document_text(5, 1));
    for (const std::size_t endpoints : {33U, 1100U, 11'000U, 22'000U}) {
        measure_endpoints(endpoints, document);
    }
    for (const std::size_t accounts : {5U, 240U, 2400U}) {
        measure_limits(accounts);
    }
    for (const std::size_t capacity : {1024U, 16'384U, 65'536U}) {
        measure_timeline(capacity);
    }
}

} // namespace

int main(int argc, char** argv) {
    const std::string part = argc > 1 ? argv[1] : "all";
    // Line buffering shows each row as soon as it is measured, also if the output is a file.
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    std::printf("| work | size | value | unit |\n|---|---|---|---|\n");
    if (part == "all" || part == "membership") {
        measure_memberships();
    }
    if (part == "all" || part == "lost-domain") {
        measure_stopped_domains();
    }
    if (part == "all" || part == "tables") {
        measure_tables();
    }
    return EXIT_SUCCESS;
}
