// A part of a prompt crashes each replica that begins to write an answer on it, right after the first event of the
// answer. Requests with that part must stop reaching replicas.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int replica_count = 8;
constexpr int daemon_count = 2;
constexpr long run_ms = 40000;
constexpr long deadly_from_ms = 8000;
constexpr long sound_interval_ms = 100;
constexpr long deadly_interval_ms = 250;
constexpr long restart_ms = 2000;
constexpr long event_interval_ms = 40;
constexpr int event_count = 5;
constexpr long stable_window_ms = 3000;
constexpr int allowed_requests = 3;
constexpr const char* deadly_part = "dead:410";

std::string stream_event(int number) {
    const std::string event = "id: " + std::to_string(number) + "\ndata: line " + std::to_string(number) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    return size + event + "\r\n";
}

/// Runs as a process of its own, which ends itself when it has begun to write an answer to a deadly request.
/// `events_before` says how many events of the answer it has written then.
[[noreturn]] void serve(const std::string& name, int port, const std::string& port_path, int events_before) {
    const server replica("127.0.0.1", port, [name, events_before](connection_ptr c) {
        request message;
        while (c->read_request(message, 60000)) {
            const std::string id = message.field("x-attempt-id");
            const bool is_deadly = message.field("x-prompt-prefix").find(deadly_part) != std::string::npos;
            if (message.method == "GET") {
                c->send(http_text(200, "X-Replica-Id: " + name + "\r\n", ""));
                message = request();
                continue;
            }
            record::line(name + (is_deadly ? " RUNS DEADLY " : " runs ") + id);
            if (!c->send("HTTP/1.1 200 OK\r\n" + answer_fields(id, name) +
                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
                return;
            }
            for (int n = 1; n <= event_count; ++n) {
                if (is_deadly && n > events_before) {
                    sleep_ms(30);
                    ::kill(::getpid(), SIGKILL);
                }
                if (!c->send(stream_event(n))) {
                    return;
                }
                sleep_ms(event_interval_ms);
            }
            c->send("0\r\n\r\n");
            message = request();
        }
    });
    std::ofstream(port_path + ".new") << replica.port();
    std::rename((port_path + ".new").c_str(), port_path.c_str());
    while (true) {
        ::pause();
    }
}

struct replica_process {
    std::string name;
    std::string port_path;
    pid_t pid = -1;
    int port = 0;
    long down_since = 0;

    void start(int events_before) {
        ::unlink(port_path.c_str());
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            serve(name, port, port_path, events_before);
        }
        const long end = now_ms() + 2000;
        while (!std::ifstream(port_path).good() && now_ms() < end) {
            sleep_ms(5);
        }
        std::ifstream(port_path) >> port;
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
};

std::string prompt_request(const std::string& id, const std::string& middle_part) {
    return "POST /review/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: aa01:800," + middle_part + ",own" + id +
           ":250\r\nX-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi";
}

/// Requests of one kind: how many were sent in a span, and how many of these began.
struct span_count {
    std::atomic<int> sent{0};
    std::atomic<int> begun{0};
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const std::string program = argv[1];
    const std::string folder = argv[2];
    const bool trouble = std::string(argv[4]) != "0";
    // With 0 the replica crashes before its first event.
    const char* const events = std::getenv("EVENTS_BEFORE_CRASH");
    const int events_before = events == nullptr ? 1 : std::atoi(events);
    record::open(argv[3], true);
    choose_ports();
    std::vector<replica_process> replicas;
    for (int n = 0; n < replica_count; ++n) {
        const std::string name = "i-" + std::to_string(n);
        replicas.push_back({name, folder + "/port-" + name});
        replicas.back().start(events_before);
    }
    store platform;
    platform.put("config", "main",
                 configuration(route("review", "streaming", "menu-model", 6000, R"(,"sticky":true,"gap_target_ms":300)"),
                               R"({"name":"menu-model","slots":64,"max_conns":360,"health_path":"/healthz"})"));
    for (const replica_process& row : replicas) {
        platform.put("servers", row.name, replica_entry("menu-model", row.address(), 64));
    }
    std::vector<std::unique_ptr<daemon_process>> daemons;
    std::vector<std::string> seeds;
    for (int n = 0; n < daemon_count; ++n) {
        daemons.push_back(std::make_unique<daemon_process>(program, folder, n + 1, platform.address()));
        seeds.push_back(daemons.back()->peer());
    }
    for (const auto& row : daemons) {
        row->start(seeds);
    }
    const auto stop_all = [&]() {
        for (const auto& row : daemons) {
            row->stop();
        }
        for (const replica_process& row : replicas) {
            if (row.pid > 0) {
                ::kill(row.pid, SIGKILL);
            }
        }
    };
    for (const auto& row : daemons) {
        if (!row->wait_ready(10000)) {
            stop_all();
            ::_exit(2);
        }
    }
    sleep_ms(1500);
    const long begin = now_ms();
    std::atomic<long> fifth_crash{0};
    std::atomic<int> arrivals_late{0};
    span_count sound_before;
    span_count sound_after;
    std::atomic<int> open_clients{0};
    const auto send_one = [&](const std::string& id, const std::string& part, int daemon, span_count* count) {
        ++open_clients;
        std::thread([&, id, part, daemon, count]() {
            const connection_ptr c = connection::connect(daemons[daemon]->ip(), daemons[daemon]->front());
            response got;
            if (c && c->send(prompt_request(id, part))) {
                got = c->read_response(4500);
            }
            record::line("client got " + id + ": status " + std::to_string(got.status) +
                         (got.status == 200 && !got.complete ? ", not complete" : ""));
            if (count != nullptr) {
                ++count->sent;
                count->begun += got.status == 200 ? 1 : 0;
            }
            --open_clients;
        }).detach();
    };
    int crashes = 0;
    int number = 0;
    long next_sound = 0;
    long next_deadly = deadly_from_ms;
    while (now_ms() - begin < run_ms) {
        const long time = now_ms() - begin;
        if (time >= next_sound) {
            next_sound += sound_interval_ms;
            const long fifth = fifth_crash;
            const bool is_after = fifth != 0 && now_ms() > fifth + 2 * stable_window_ms;
            span_count* const count = time < deadly_from_ms ? &sound_before : (is_after ? &sound_after : nullptr);
            ++number;
            send_one("sound" + std::to_string(number), "b" + std::to_string(number % 7) + ":410",
                     number % daemon_count, count);
        }
        if (trouble && time >= next_deadly) {
            next_deadly += deadly_interval_ms;
            ++number;
            send_one("deadly" + std::to_string(number), deadly_part, number / 2 % daemon_count, nullptr);
        }
        for (replica_process& row : replicas) {
            int status = 0;
            if (row.pid > 0 && ::waitpid(row.pid, &status, WNOHANG) == row.pid) {
                row.pid = -1;
                row.down_since = now_ms();
                if (!WIFSIGNALED(status)) {
                    // It could not listen on its port again.
                    continue;
                }
                ++crashes;
                record::line(row.name + " has crashed, crash " + std::to_string(crashes));
                if (crashes == 5) {
                    fifth_crash = now_ms();
                }
                // A crash is the mark that a deadly request has reached a replica.
                const long fifth = fifth_crash;
                arrivals_late += crashes > 5 && now_ms() > fifth + stable_window_ms + 200 ? 1 : 0;
            } else if (row.pid < 0 && now_ms() - row.down_since >= restart_ms) {
                row.start(events_before);
                platform.put("servers", row.name,
                             replica_entry("menu-model", row.address(), 64, "ready", unix_ms()));
                record::line(row.name + " is back");
            }
        }
        sleep_ms(5);
    }
    while (open_clients > 0) {
        sleep_ms(20);
    }
    record::line(std::to_string(crashes) + " crashes; deadly requests that reached a replica more than " +
                 std::to_string(stable_window_ms) + " ms after the fifth: " + std::to_string(arrivals_late));
    record::line("sound requests that began: " + std::to_string(sound_before.begun) + " of " +
                 std::to_string(sound_before.sent) + " before, " + std::to_string(sound_after.begun) + " of " +
                 std::to_string(sound_after.sent) + " from twice that time after the fifth crash on");
    const bool broken = arrivals_late > allowed_requests;
    if (broken) {
        record::line("RULE BROKEN (BUDGET): more than three requests with the part that crashes replicas reached them");
    }
    const bool lost = sound_after.sent >= 20 && sound_before.sent >= 20 &&
                      2.0 * sound_after.begun / sound_after.sent < 1.0 * sound_before.begun / sound_before.sent;
    if (lost) {
        record::line("RULE BROKEN (LOST): sound requests began less than half as often");
    }
    stop_all();
    if (!trouble && (sound_before.begun < sound_before.sent || crashes > 0)) {
        ::_exit(2);
    }
    ::_exit(broken || lost ? 1 : 0);
}
