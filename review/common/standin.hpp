#pragma once

// Stand-ins of the platform, its store, replicas and clients for the cases of the review. They use blocking
// sockets and threads, and speak what the users' pages say.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline clock::time_point start_time = clock::now();

inline double seconds_now() {
    return std::chrono::duration<double>(clock::now() - start_time).count();
}

inline void sleep_ms(int ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

/// Lines of `record.txt`, with the time in seconds.
class record {
public:
    explicit record(const std::string& path)
        : out_(path) {}

    void add(const std::string& text) {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds_now());
        const std::lock_guard<std::mutex> lock(mutex_);
        out_ << time << text << "\n" << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/// Loopback address of this run; the process id separates runs beside each other.
inline std::string host() {
    const unsigned pid = static_cast<unsigned>(::getpid());
    return "127.88." + std::to_string((pid >> 8U) & 255U) + "." + std::to_string(pid & 255U);
}

inline sockaddr_in to_sockaddr(const std::string& ip, int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

struct message {
    /// Request line or status line.
    std::string line;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }

    int status() const { return line.size() > 11 ? std::atoi(line.c_str() + 9) : 0; }

    std::string method() const { return line.substr(0, line.find(' ')); }

    std::string target() const {
        const std::size_t begin = line.find(' ') + 1;
        return line.substr(begin, line.find(' ', begin) - begin);
    }
};

inline std::string lower(std::string text) {
    for (char& c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

/// A connected socket with what was read ahead.
class connection {
public:
    explicit connection(int fd)
        : fd_(fd) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    ~connection() { close(); }

    static std::unique_ptr<connection> open(const std::string& ip, int port, int timeout_ms = 1000) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (fd < 0) {
            return nullptr;
        }
        const sockaddr_in to = to_sockaddr(ip, port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
            pollfd query{fd, POLLOUT, 0};
            int error = 0;
            socklen_t size = sizeof error;
            if (errno != EINPROGRESS || ::poll(&query, 1, timeout_ms) != 1 ||
                ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                ::close(fd);
                return nullptr;
            }
        }
        ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
        return std::make_unique<connection>(fd);
    }

    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Reads more bytes. Returns 1 if there are some, 0 at the end, -1 after an error, -2 at the deadline.
    int fill(clock::time_point deadline) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
        pollfd query{fd_, POLLIN, 0};
        const int ready = ::poll(&query, 1, static_cast<int>(std::max<long>(0, left)));
        if (ready == 0) {
            return -2;
        }
        char buffer[65536];
        const ssize_t size = ::recv(fd_, buffer, sizeof buffer, 0);
        if (size > 0) {
            buffer_.append(buffer, static_cast<std::size_t>(size));
            return 1;
        }
        return size == 0 ? 0 : -1;
    }

    /// Reads the head of a message. Returns nothing if the connection ended or the deadline passed.
    std::optional<message> read_head(clock::time_point deadline) {
        std::size_t end = buffer_.find("\r\n\r\n");
        while (end == std::string::npos) {
            last_ = fill(deadline);
            if (last_ != 1) {
                return std::nullopt;
            }
            end = buffer_.find("\r\n\r\n");
        }
        message out;
        std::size_t begin = 0;
        while (begin < end) {
            const std::size_t line_end = std::min(end, buffer_.find("\r\n", begin));
            const std::string line = buffer_.substr(begin, line_end - begin);
            if (begin == 0) {
                out.line = line;
            } else {
                const std::size_t colon = line.find(':');
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                out.fields[lower(line.substr(0, colon))] =
                    value == std::string::npos ? std::string() : line.substr(value);
            }
            begin = line_end + 2;
        }
        buffer_.erase(0, end + 4);
        return out;
    }

    bool read_bytes(std::size_t count, std::string& out, clock::time_point deadline) {
        while (buffer_.size() < count) {
            last_ = fill(deadline);
            if (last_ != 1) {
                out += buffer_;
                buffer_.clear();
                return false;
            }
        }
        out.append(buffer_, 0, count);
        buffer_.erase(0, count);
        return true;
    }

    /// Reads the body after a head. Returns whether it is whole.
    bool read_body(message& in, clock::time_point deadline) {
        if (in.field("transfer-encoding") == "chunked") {
            while (true) {
                std::string size_line;
                while (!size_line.ends_with("\r\n")) {
                    if (!read_bytes(1, size_line, deadline)) {
                        return false;
                    }
                }
                const std::size_t size = std::stoul(size_line, nullptr, 16);
                std::string chunk;
                if (!read_bytes(size + 2, chunk, deadline)) {
                    in.body += chunk;
                    return false;
                }
                in.body.append(chunk, 0, size);
                if (size == 0) {
                    return true;
                }
            }
        }
        const std::string length = in.field("content-length");
        return length.empty() || read_bytes(std::stoul(length), in.body, deadline);
    }

    std::optional<message> read_message(clock::time_point deadline) {
        std::optional<message> out = read_head(deadline);
        if (out && !read_body(*out, deadline)) {
            return std::nullopt;
        }
        return out;
    }

    /// Whether the other side has closed the connection or sent something.
    bool is_readable() const {
        pollfd query{fd_, POLLIN, 0};
        return ::poll(&query, 1, 0) > 0;
    }

    /// How the last read ended: 0 closed, -1 reset, -2 deadline.
    int last() const { return last_; }

    void reset() {
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::shutdown(fd_, SHUT_RD);
        close();
    }

    /// Wakes a thread that reads, and resets the connection when that thread closes it.
    void abort() {
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::shutdown(fd_, SHUT_RD);
    }

    void shut_down() { ::shutdown(fd_, SHUT_RDWR); }

    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

private:
    int fd_;
    std::string buffer_;
    int last_ = 1;
};

/// Listener with a thread for each connection.
class listener {
public:
    using handler = std::function<void(connection&)>;

    listener(const std::string& ip, int port, handler handle)
        : ip_(ip)
        , port_(port)
        , handle_(std::move(handle)) {
        open();
    }

    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    ~listener() { stop(false); }

    bool listening() const { return fd_ >= 0; }

    int port() const { return port_; }

    const std::string& ip() const { return ip_; }

    std::string address() const { return ip_ + ":" + std::to_string(port_); }

    void open() {
        stopped_ = false;
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in at = to_sockaddr(ip_, port_);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 1024) != 0) {
            ::close(fd_);
            fd_ = -1;
            return;
        }
        thread_ = std::thread([this]() { accept_all(); });
    }

    /// Closes the port and all connections, with a reset if `abrupt`.
    void stop(bool abrupt) {
        stopped_ = true;
        if (fd_ >= 0) {
            ::shutdown(fd_, SHUT_RDWR);
            thread_.join();
            ::close(fd_);
            fd_ = -1;
        }
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (connection* const open : open_) {
                abrupt ? open->abort() : open->shut_down();
            }
        }
        while (true) {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                if (open_.empty()) {
                    return;
                }
            }
            sleep_ms(1);
        }
    }

    bool stopped() const { return stopped_; }

private:
    void accept_all() {
        while (!stopped_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopped_) {
                    return;
                }
                continue;
            }
            const std::shared_ptr<connection> accepted = std::make_shared<connection>(fd);
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                open_.insert(accepted.get());
            }
            std::thread([this, accepted]() {
                handle_(*accepted);
                const std::lock_guard<std::mutex> lock(mutex_);
                open_.erase(accepted.get());
                accepted->close();
            }).detach();
        }
    }

    std::string ip_;
    int port_;
    handler handle_;
    std::atomic<int> fd_{-1};
    std::atomic<bool> stopped_{false};
    std::thread thread_;
    std::mutex mutex_;
    std::set<connection*> open_;
};

/// The platform's store: lists, watches and conditional writes.
class store {
public:
    store(const std::string& ip, int port)
        : listener_(ip, port, [this](connection& from) { serve(from); }) {}

    ~store() { stop(); }

    void stop() {
        stopped_ = true;
        changed_.notify_all();
        listener_.stop(false);
    }

    bool listening() const { return listener_.listening(); }

    std::string address() const { return listener_.address(); }

    /// How old the answers to calls with `stale_ok` are.
    void set_stale_age(milliseconds age) { stale_age_ = age; }

    void put(const std::string& kind, const std::string& name, const json& spec) {
        const std::lock_guard<std::mutex> lock(mutex_);
        write(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name) {
        const std::lock_guard<std::mutex> lock(mutex_);
        json object = objects_[kind][name];
        objects_[kind].erase(name);
        object["metadata"]["revision"] = ++revision_;
        history_.push_back({revision_, kind, {{"object", object}, {"tombstone", true}}});
        changed_.notify_all();
    }

private:
    struct change {
        std::uint64_t revision;
        std::string kind;
        json event;
        clock::time_point time = clock::now();
    };

    /// Objects of a kind as they were `stale_age_` ago, and the revision then.
    std::pair<std::map<std::string, json>, std::uint64_t> old_objects(const std::string& kind) const {
        std::map<std::string, json> objects;
        std::uint64_t revision = 1;
        for (const change& row : history_) {
            if (row.time > clock::now() - stale_age_.load()) {
                break;
            }
            revision = row.revision;
            const std::string name = row.event["object"]["metadata"]["name"];
            if (row.kind == kind && row.event["tombstone"] == false) {
                objects[name] = row.event["object"];
            } else if (row.kind == kind) {
                objects.erase(name);
            }
        }
        return {objects, revision};
    }

    json write(const std::string& kind, const std::string& name, const json& spec) {
        json object{{"metadata",
                     {{"name", name},
                      {"revision", ++revision_},
                      {"created", revision_},
                      {"finalizers", json::array()},
                      {"deleting", false}}},
                    {"spec", spec},
                    {"status", nullptr}};
        objects_[kind][name] = object;
        history_.push_back({revision_, kind, {{"object", object}, {"tombstone", false}}});
        changed_.notify_all();
        return object;
    }

    static std::string query(const std::string& target, const std::string& name) {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, end - at - 1);
            if (pair.starts_with(name + "=")) {
                return pair.substr(name.size() + 1);
            }
            at = end;
        }
        return "";
    }

    std::pair<int, json> answer(const message& in) {
        const std::string target = in.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/objects/";
        if (!path.starts_with(prefix)) {
            return {404, json::object()};
        }
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
        std::unique_lock<std::mutex> lock(mutex_);
        std::map<std::string, json>& of_kind = objects_[kind];
        if (in.method() == "POST") {
            const json body = json::parse(in.body);
            const std::string created = body["metadata"]["name"];
            if (of_kind.contains(created)) {
                return {409, of_kind[created]};
            }
            return {200, write(kind, created, body["spec"])};
        }
        if (in.method() == "PUT") {
            const json body = json::parse(in.body);
            if (!of_kind.contains(name)) {
                return {404, json::object()};
            }
            const json& known = of_kind[name];
            if (body["metadata"].contains("revision") &&
                body["metadata"]["revision"] != known["metadata"]["revision"]) {
                return {409, known};
            }
            return {200, known["spec"] == body["spec"] ? known : write(kind, name, body["spec"])};
        }
        if (in.method() == "DELETE") {
            return {of_kind.contains(name) ? 200 : 404, json::object()};
        }
        if (!name.empty()) {
            return of_kind.contains(name) ? std::pair(200, of_kind[name]) : std::pair(404, json::object());
        }
        const std::string watch = query(target, "watch");
        const bool is_stale = query(target, "stale_ok") == "1" && stale_age_.load() > milliseconds(0);
        if (watch.empty()) {
            json items = json::array();
            const std::string after = query(target, "after");
            const auto [listed, as_of] = is_stale ? old_objects(kind) : std::pair(of_kind, revision_);
            for (const auto& row : listed) {
                if (row.first > after) {
                    items.push_back(row.second);
                }
            }
            return {200, {{"items", items}, {"has_more", false}, {"as_of", as_of}}};
        }
        const std::uint64_t from = std::stoull(watch);
        const std::string wait = query(target, "wait_ms");
        const clock::time_point deadline = clock::now() + milliseconds(wait.empty() ? 0 : std::stoul(wait));
        while (true) {
            json events = json::array();
            const clock::time_point newest = is_stale ? clock::now() - stale_age_.load() : clock::now();
            std::uint64_t as_of = is_stale ? from : revision_;
            for (const change& row : history_) {
                if (row.revision > from && row.time <= newest) {
                    as_of = std::max(as_of, row.revision);
                    if (row.kind == kind) {
                        events.push_back(row.event);
                    }
                }
            }
            if (!events.empty() || clock::now() >= deadline || stopped_) {
                return {200, {{"events", events}, {"as_of", as_of}}};
            }
            changed_.wait_until(lock,
                                is_stale ? std::min(deadline, clock::now() + milliseconds(50)) : deadline);
        }
    }

    void serve(connection& from) {
        while (const std::optional<message> in = from.read_message(clock::now() + std::chrono::minutes(5))) {
            const auto [status, body] = answer(*in);
            const std::string text = body.dump();
            if (stopped_ || !from.send("HTTP/1.1 " + std::to_string(status) +
                                       " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                       std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> stopped_{false};
    std::map<std::string, std::map<std::string, json>> objects_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    std::atomic<milliseconds> stale_age_{milliseconds(0)};
    listener listener_;
};

/// What the platform fills into the settings template for one machine.
struct machine {
    std::string name;
    std::string zone;
    std::string ip;
    int first_port = 0;

    int front() const { return first_port; }

    int ready() const { return first_port + 1; }

    int control() const { return first_port + 2; }

    int directory() const { return first_port + 3; }

    int free_port() const { return first_port + 4; }
};

/// The template `deploy/settings.jsonc` with the fields of the pages, for machines like those of the sheet.
inline std::string fill_template(const std::string& repository, const machine& of,
                                 const std::vector<machine>& seeds, const std::string& store_address) {
    std::ifstream file(repository + "/deploy/settings.jsonc");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const auto at = [&of](int port) { return of.ip + ":" + std::to_string(port); };
    std::string seed_list;
    for (std::size_t n = 0; n < std::min<std::size_t>(3, seeds.size()); ++n) {
        seed_list += (n == 0 ? "\"" : ",\"") + seeds[n].ip + ":" + std::to_string(seeds[n].control()) + "\"";
    }
    const std::map<std::string, std::string> values{{"{{node}}", of.name},
                                                    {"{{zone}}", of.zone},
                                                    {"{{listen.front}}", at(of.front())},
                                                    {"{{listen.control}}", at(of.control())},
                                                    {"{{listen.ready}}", at(of.ready())},
                                                    {"{{listen.directory}}", at(of.directory())},
                                                    {"{{ip}}:{{port_range.0}}", at(of.free_port())},
                                                    {"{{platform.address}}", store_address},
                                                    {"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seed_list},
                                                    {"{{limits.cpu_share}}", "0.25"},
                                                    {"{{limits.cores}}", "1"},
                                                    {"{{limits.memory_mb}}", "260"},
                                                    {"{{limits.max_fds}}", "4100"},
                                                    {"{{bounds.retry_budget_ratio}}", "0.2"},
                                                    {"{{bounds.budget_window_s}}", "10"},
                                                    {"{{bounds.budget_extra}}", "52"}};
    // Sections of bounds that this deployment does not have.
    const std::string section = "{{#bounds.";
    for (std::size_t n = text.find(section); n != std::string::npos; n = text.find(section, n)) {
        const std::string name = text.substr(n + 3, text.find("}}", n) - n - 3);
        const std::string end = "{{/" + name + "}}";
        text.erase(n, text.find(end, n) + end.size() - n);
    }
    for (const auto& [from, to] : values) {
        for (std::size_t n = text.find(from); n != std::string::npos; n = text.find(from, n + to.size())) {
            text.replace(n, from.size(), to);
        }
    }
    return text;
}

/// The program of the deploy file as a process on one machine.
class daemon_process {
public:
    daemon_process(std::string repository, std::string folder, machine on)
        : repository_(std::move(repository))
        , folder_(std::move(folder))
        , on_(std::move(on)) {}

    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    ~daemon_process() { kill(SIGKILL); }

    const machine& on() const { return on_; }

    /// Starts the process, with this number of descriptors if one is given.
    bool start(const std::vector<machine>& seeds, const std::string& store_address, rlim_t max_fds = 0) {
        const std::string settings = folder_ + "/" + on_.name + ".jsonc";
        std::ofstream(settings) << fill_template(repository_, on_, seeds, store_address);
        const std::string log = folder_ + "/" + on_.name + ".log";
        const std::string program = repository_ + "/target/bin/rattanbayd";
        const std::string variable = "RATTANBAY_SETTINGS=" + settings;
        pid_ = ::fork();
        if (pid_ == 0) {
            // Also if this program is killed, no daemon is left behind.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (max_fds > 0) {
                const rlimit limit{max_fds, max_fds};
                ::setrlimit(RLIMIT_NOFILE, &limit);
            }
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (::chdir(repository_.c_str()) != 0) {
                ::_exit(127);
            }
            char* const arguments[] = {const_cast<char*>("target/bin/rattanbayd"), nullptr};
            char* const variables[] = {const_cast<char*>(variable.c_str()), nullptr};
            ::execve(program.c_str(), arguments, variables);
            ::_exit(127);
        }
        return pid_ > 0;
    }

    bool running() {
        if (pid_ <= 0) {
            return false;
        }
        if (::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }

    void signal(int number) {
        if (running()) {
            ::kill(pid_, number);
        }
    }

    void kill(int number) {
        if (pid_ > 0) {
            ::kill(pid_, number);
            ::waitpid(pid_, &status_, 0);
            pid_ = -1;
        }
    }

    /// Sends SIGTERM, and SIGKILL after `grace_s`. Returns whether it ended by itself.
    bool stop(int grace_ms = 8000) {
        signal(SIGTERM);
        const clock::time_point end = clock::now() + milliseconds(grace_ms);
        while (running() && clock::now() < end) {
            sleep_ms(20);
        }
        const bool ended = !running();
        kill(SIGKILL);
        return ended;
    }

    /// Memory of the process in MB; 0 if it does not run.
    double memory_mb() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        std::string word;
        while (file >> word) {
            if (word == "VmRSS:") {
                double kb = 0;
                file >> kb;
                return kb / 1024;
            }
        }
        return 0;
    }

    std::size_t descriptors() const {
        std::size_t out = 0;
        for (int n = 0; n < 8192; ++n) {
            const std::string path = "/proc/" + std::to_string(pid_) + "/fd/" + std::to_string(n);
            out += ::access(path.c_str(), F_OK) == 0 ? 1 : 0;
        }
        return out;
    }

    pid_t pid() const { return pid_; }

private:
    std::string repository_;
    std::string folder_;
    machine on_;
    pid_t pid_ = -1;
    int status_ = 0;
};

inline bool is_ready(const machine& of) {
    const std::unique_ptr<connection> to = connection::open(of.ip, of.ready(), 500);
    if (!to || !to->send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const std::optional<message> in = to->read_head(clock::now() + milliseconds(1000));
    return in && in->status() == 200;
}

inline bool wait_until(const std::function<bool()>& condition, int limit_ms) {
    const clock::time_point end = clock::now() + milliseconds(limit_ms);
    while (clock::now() < end) {
        if (condition()) {
            return true;
        }
        sleep_ms(20);
    }
    return condition();
}

inline std::uint64_t wall_ms() {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// Entry of a replica in the store.
inline json server_entry(const std::string& service, const std::string& address, const std::string& zone,
                         unsigned slots, const std::string& state, std::uint64_t born, unsigned seq) {
    return {{"service", service}, {"address", address}, {"zone", zone}, {"version", "v1"}, {"slots", slots},
            {"state", state},     {"cold_left_ms", 0},  {"born", born}, {"seq", seq}};
}

/// Request of a client, with the fields of the pages.
inline std::string request_text(const std::string& method, const std::string& target, const std::string& id,
                                unsigned deadline_ms, const std::string& more, const std::string& body) {
    return method + " " + target + " HTTP/1.1\r\nHost: one.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer key-1\r\n" +
           more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace standin
