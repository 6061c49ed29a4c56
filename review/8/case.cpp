// A replica runs bookings and then fails some of them with 503, without saying that they have not run. The
// client must not get a status that promises that its booking has not run.
#include "kit.hpp"

#include <set>

using namespace kit;

namespace {

constexpr int replica_count = 8;
constexpr int booking_count = 240;
constexpr long booking_interval_ms = 40;
/// The one failing replica fails two of five requests.
constexpr int failing_replica = 0;

} // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const std::string program = argv[1];
    const std::string folder = argv[2];
    const bool trouble = std::string(argv[4]) != "0";
    record::open(argv[3], true);
    choose_ports();
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::vector<int> seen(replica_count);
    std::vector<std::unique_ptr<server>> replicas;
    for (int n = 0; n < replica_count; ++n) {
        replicas.push_back(std::make_unique<server>("127.0.0.1", 0, [&, n](connection_ptr c) {
            const std::string name = "i-" + std::to_string(n);
            request message;
            while (c->read_request(message, 60000)) {
                const std::string id = message.field("x-attempt-id");
                bool fails = false;
                if (message.method != "GET") {
                    const std::lock_guard<std::mutex> lock(mutex);
                    ++runs[id];
                    fails = trouble && n == failing_replica && seen[n]++ % 5 < 2;
                    record::line(name + " runs " + id + (fails ? " and fails it with 503" : ""));
                }
                sleep_ms(20);
                if (!c->send(http_text(fails ? 503 : 200, answer_fields(id, name),
                                       fails ? "booked, but no confirmation could be sent" : "booked"))) {
                    return;
                }
                message = request();
            }
        }));
    }
    store platform;
    platform.put("config", "main", configuration(route("book", "non_idempotent", "order-desk", 3000),
                                                 service("order-desk")));
    for (int n = 0; n < replica_count; ++n) {
        platform.put("servers", "i-" + std::to_string(n), replica_entry("order-desk", replicas[n]->address(), 6));
    }
    daemon_process entry(program, folder, 1, platform.address());
    entry.start({});
    if (!entry.wait_ready(10000)) {
        entry.stop();
        return 2;
    }
    sleep_ms(500);
    int refused_after_run = 0;
    int answered = 0;
    connection_ptr c;
    for (int n = 0; n < booking_count; ++n) {
        const std::string id = "booking-" + std::to_string(n);
        c = c && !c->ended() ? c : connection::connect(entry.ip(), entry.front());
        if (!c || !c->send(request_text("book", id, 1000, "12 halal trays"))) {
            entry.stop();
            return 2;
        }
        const response got = c->read_response(1500);
        answered += got.status == 200 ? 1 : 0;
        record::line("client got " + id + ": status " + std::to_string(got.status) + ", signed '" +
                     got.field("x-replica-seal") + "'");
        const std::lock_guard<std::mutex> lock(mutex);
        const bool is_promise = got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421;
        if (is_promise && runs[id] > 0) {
            record::line("RULE BROKEN (REFUSED): " + id + " was answered " + std::to_string(got.status) +
                         " and has run");
            ++refused_after_run;
        }
        sleep_ms(booking_interval_ms);
    }
    record::line(std::to_string(answered) + " of " + std::to_string(booking_count) + " bookings answered 200, " +
                 std::to_string(refused_after_run) + " refused though they had run");
    entry.stop();
    if (!trouble && answered != booking_count) {
        ::_exit(2);
    }
    ::_exit(refused_after_run > 0 ? 1 : 0);
}
