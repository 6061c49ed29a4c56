// One part of a prompt crashes each replica that begins to answer a request with it, while the machines of
// the system are stopped and started in turn.

#include "../common/standin.hpp"

using namespace standin;

namespace {

constexpr int daemon_count = 4;
constexpr int replica_count = 8;
constexpr int downtime_ms = 2000;
constexpr double poison_begin_s = 6;
constexpr double poison_interval_s = 0.15;
constexpr double sound_interval_s = 0.05;
constexpr double stable_window_s = 3;
/// Start of the two rounds of stops, after the fifth crash, and the pause between two machines.
constexpr double rounds_s[] = {12, 42};
constexpr int turn_gap_ms = 1300;
constexpr double end_s = 74;
constexpr int allowed_requests = 3;
const std::string deadly_part = "dead0001";

json configuration() {
    return json::parse(R"({
        "version": 7,
        "routes": [{"name": "review", "host": "one.example", "path_prefix": "/review/", "kind": "streaming",
                    "timeout_ms": 5000, "slo_ms": 1200, "priority": 1, "service": "model", "max_attempts": 1,
                    "public": false, "sticky": true, "resumable": false, "gap_target_ms": 300}],
        "services": [{"name": "model", "health_path": "/healthz", "max_conns": 360, "protocol": "h1",
                      "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "khi", "api_keys": ["key-1"], "priority": 1}]})");
}

struct arrival {
    double time;
    std::string request;
};

/// What the clients and the platform did, by the first letter of request ids ("d0" to "d3" name the daemon).
struct world {
    std::mutex mutex;
    std::vector<double> crashes;
    std::vector<arrival> deadly_arrivals;
    /// Times at which a daemon was stopped or started.
    std::vector<std::vector<double>> disturbances{daemon_count};
    int broken_sound = 0;
};

struct replica {
    replica(int number, world& in, record& out, store& objects)
        : id("i-" + std::to_string(number))
        , world_(in)
        , out_(out)
        , objects_(objects)
        , at(host(), 23000 + number, [this](connection& from) { serve(from); }) {
        announce();
    }

    void announce() {
        objects_.put("servers", id,
                     server_entry("model", at.address(), "khi-a", 64, "ready", wall_ms(), ++seq_));
    }

    void serve(connection& from) {
        while (const std::optional<message> in = from.read_message(clock::now() + std::chrono::minutes(2))) {
            const std::string request = in->field("x-attempt-id");
            if (in->field("x-prompt-prefix").find(deadly_part) != std::string::npos) {
                {
                    const std::lock_guard<std::mutex> lock(world_.mutex);
                    world_.deadly_arrivals.push_back({seconds_now(), request});
                    world_.crashes.push_back(seconds_now());
                }
                out_.add("replica " + id + " crashes on " + request);
                if (!crashing_.exchange(true)) {
                    std::thread([this]() { crash(); }).detach();
                }
                return;
            }
            bool sent = from.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request +
                                  "\r\nX-Replica-Seal: seal\r\nContent-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n");
            for (int n = 1; n <= 5 && sent && !crashing_; ++n) {
                const std::string event = "id: " + std::to_string(n) + "\ndata: piece\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                sent = from.send(size + event + "\r\n");
                sleep_ms(50);
            }
            if (!sent || crashing_ || !from.send("0\r\n\r\n")) {
                return;
            }
        }
    }

    void crash() {
        at.stop(true);
        sleep_ms(downtime_ms);
        crashing_ = false;
        at.open();
        announce();
    }

    std::string id;
    world& world_;
    record& out_;
    store& objects_;
    std::atomic<bool> crashing_{false};
    unsigned seq_ = 0;
    listener at;
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return exit_not_run;
    }
    record out(argv[3]);
    const bool trouble = std::string(argv[4]) != "0";
    ::signal(SIGPIPE, SIG_IGN);

    store objects(host(), 22001);
    objects.put("config", "main", configuration());
    world all;
    std::vector<std::unique_ptr<replica>> replicas;
    for (int n = 0; n < replica_count; ++n) {
        replicas.push_back(std::make_unique<replica>(n, all, out, objects));
    }
    std::vector<machine> machines;
    for (int n = 0; n < daemon_count; ++n) {
        machines.push_back({"edge-khi-" + std::string(1, static_cast<char>('a' + n)) + "-1",
                            "khi-" + std::string(1, static_cast<char>('a' + n)), host(), 22100 + 10 * n});
    }
    std::vector<std::unique_ptr<daemon_process>> daemons;
    for (const machine& on : machines) {
        daemons.push_back(std::make_unique<daemon_process>(argv[1], argv[2], on));
        if (!daemons.back()->start(machines, objects.address())) {
            return exit_not_run;
        }
    }
    for (const machine& on : machines) {
        if (!wait_until([&on]() { return is_ready(on); }, 10000)) {
            out.add("a daemon did not start");
            return exit_not_run;
        }
    }

    std::atomic<bool> done{false};
    std::atomic<int> sound_served{0};
    std::atomic<int> sound_refused{0};
    std::atomic<int> deadly_sent{0};
    std::atomic<int> open_requests{0};
    const auto request = [&](int daemon, const std::string& id, const std::string& part, bool deadly) {
        ++open_requests;
        std::thread([&, daemon, id, part, deadly]() {
            const std::string fields = "X-Model: m\r\nX-Token-Count: 1460,20\r\nX-Prompt-Prefix: " + part +
                                       ":800,own" + id + ":660\r\n";
            const std::unique_ptr<connection> to =
                connection::open(machines[static_cast<std::size_t>(daemon)].ip,
                                 machines[static_cast<std::size_t>(daemon)].front());
            std::optional<message> in;
            bool whole = false;
            if (to && to->send(request_text("POST", "/review/1", id, 5000, fields, "x"))) {
                in = to->read_head(clock::now() + milliseconds(5500));
                whole = in && to->read_body(*in, clock::now() + milliseconds(5500));
            }
            if (!deadly && whole && in->status() == 200) {
                ++sound_served;
            } else if (!deadly && in && in->status() == 503) {
                ++sound_refused;
            } else if (!deadly && to) {
                const std::lock_guard<std::mutex> lock(all.mutex);
                ++all.broken_sound;
            }
            --open_requests;
        }).detach();
    };

    // Clients: sound requests and some with the deadly part, at any machine.
    std::thread clients([&]() {
        int number = 0;
        double next_sound = seconds_now();
        double next_deadly = poison_begin_s;
        while (!done) {
            const double time = seconds_now();
            if (time >= next_sound) {
                next_sound += sound_interval_s;
                const int daemon = number % daemon_count;
                ++number;
                request(daemon, "s" + std::to_string(number) + "d" + std::to_string(daemon),
                        "part" + std::to_string(number % 40), false);
            }
            if (time >= next_deadly) {
                next_deadly += poison_interval_s;
                const int daemon = deadly_sent % daemon_count;
                request(daemon, "d" + std::to_string(daemon) + "-" + std::to_string(++deadly_sent),
                        deadly_part, true);
            }
            sleep_ms(5);
        }
    });

    const bool begun = wait_until(
        [&all]() {
            const std::lock_guard<std::mutex> lock(all.mutex);
            return all.crashes.size() >= 5;
        },
        20000);
    if (!begun) {
        out.add("there were no five crashes");
        done = true;
        clients.join();
        sleep_ms(6000);
        return exit_not_run;
    }
    const double fifth = all.crashes[4];
    out.add("fifth crash at " + std::to_string(fifth) + " s");

    const auto disturb = [&](std::size_t n) {
        const std::lock_guard<std::mutex> lock(all.mutex);
        all.disturbances[n].push_back(seconds_now());
    };
    for (const double round : rounds_s) {
        while (trouble && seconds_now() < fifth + round) {
            sleep_ms(20);
        }
        // The machine that acted last goes first.
        std::size_t first = 0;
        {
            const std::lock_guard<std::mutex> lock(all.mutex);
            first = static_cast<std::size_t>(all.deadly_arrivals.back().request[1] - '0');
        }
        for (std::size_t turn = 0; trouble && turn < daemons.size(); ++turn) {
            const std::size_t n = (first + turn) % daemons.size();
            out.add("platform: SIGTERM to daemon " + std::to_string(n));
            disturb(n);
            daemons[n]->stop();
            daemons[n]->start(machines, objects.address());
            disturb(n);
            out.add("platform: daemon " + std::to_string(n) + " started again");
            sleep_ms(turn_gap_ms);
        }
    }
    while (seconds_now() < end_s) {
        sleep_ms(20);
    }
    done = true;
    clients.join();
    wait_until([&open_requests]() { return open_requests == 0; }, 7000);

    int counted = 0;
    for (const arrival& row : all.deadly_arrivals) {
        if (row.time <= fifth + stable_window_s) {
            continue;
        }
        const std::size_t daemon = static_cast<std::size_t>(row.request[1] - '0');
        bool in_touch = true;
        for (const double at : all.disturbances[daemon]) {
            in_touch = in_touch && !(at <= row.time && row.time - at <= stable_window_s);
        }
        counted += in_touch ? 1 : 0;
        out.add(row.request + " reached a replica " + std::to_string(row.time - fifth) +
                " s after the fifth crash, sent by daemon " + std::to_string(daemon) +
                (in_touch ? ", in touch" : ", not in touch"));
    }
    out.add("requests with the part " + std::to_string(deadly_sent) + ", crashes " +
            std::to_string(all.crashes.size()) + ", counted " + std::to_string(counted) + " (allowed " +
            std::to_string(allowed_requests) + "), sound requests served " + std::to_string(sound_served) +
            ", refused " + std::to_string(sound_refused) + ", broken " + std::to_string(all.broken_sound));
    for (std::unique_ptr<daemon_process>& daemon : daemons) {
        daemon->kill(SIGKILL);
    }
    for (std::unique_ptr<replica>& row : replicas) {
        row->at.stop(false);
    }
    objects.stop();
    return counted > allowed_requests ? exit_broken : exit_held;
}
