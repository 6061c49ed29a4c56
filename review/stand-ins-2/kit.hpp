// Stand-ins of the platform's store, of replicas and of clients for the cases of this review. Blocking sockets,
// one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
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
#include <string>
#include <thread>
#include <vector>

namespace kit {

using clock = std::chrono::steady_clock;

inline const clock::time_point start_time = clock::now();

inline long now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start_time).count();
}

inline long unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(long ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Lines of what was sent, answered and run. Several processes may append to the same file.
class record {
public:
    static void open(const std::string& path, bool truncate) {
        fd() = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (truncate ? O_TRUNC : 0), 0644);
        if (fd() < 0) {
            std::perror("record");
            std::exit(2);
        }
    }

    static void line(const std::string& text) {
        char time[32];
        std::snprintf(time, sizeof time, "%10ld ms  ", unix_ms() % 1000000000L);
        const std::string bytes = time + text + "\n";
        if (::write(fd(), bytes.data(), bytes.size()) < 0) {
            std::perror("record");
        }
    }

private:
    static int& fd() {
        static int out = -1;
        return out;
    }
};

/// Header fields with names in lower case.
using field_map = std::map<std::string, std::string>;

struct request {
    std::string method;
    std::string target;
    field_map fields;
    std::string body;

    std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
};

struct response {
    int status = 0;
    field_map fields;
    std::string body;
    /// Whether the header and the whole body have arrived.
    bool complete = false;
    /// Whether the connection ended or was reset before that.
    bool closed = false;

    std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
};

class connection {
public:
    explicit connection(int fd)
        : fd_(fd) {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    ~connection() { close(); }

    static std::shared_ptr<connection> connect(const std::string& ip, int port) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_shared<connection>(fd);
    }

    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads more bytes into the buffer. Returns false at the end, after an error and after the timeout.
    bool fill(long timeout_ms) {
        pollfd wait{fd_, POLLIN, 0};
        if (::poll(&wait, 1, static_cast<int>(timeout_ms)) <= 0) {
            timed_out_ = true;
            return false;
        }
        char bytes[65536];
        const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) {
            ended_ = true;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    /// Closes with a reset instead of an ordinary end.
    void reset() {
        if (fd_ >= 0) {
            const linger off{1, 0};
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &off, sizeof off);
        }
        close();
    }

    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    bool ended() const { return ended_; }

    int fd() const { return fd_; }

    std::string& buffer() { return buffer_; }

    bool read_head(std::string& first_line, field_map& fields, long timeout_ms) {
        const long end = now_ms() + timeout_ms;
        std::size_t at = std::string::npos;
        while ((at = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(std::max(0L, end - now_ms()))) {
                return false;
            }
        }
        const std::string head = buffer_.substr(0, at + 2);
        buffer_.erase(0, at + 4);
        std::size_t line_end = head.find("\r\n");
        first_line = head.substr(0, line_end);
        for (std::size_t begin = line_end + 2; begin < head.size(); begin = line_end + 2) {
            line_end = head.find("\r\n", begin);
            const std::string line = head.substr(begin, line_end - begin);
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char& symbol : name) {
                symbol = static_cast<char>(std::tolower(static_cast<unsigned char>(symbol)));
            }
            std::size_t value = colon == std::string::npos ? line.size() : colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            fields[name] = line.substr(value);
        }
        return true;
    }

    bool read_exactly(std::size_t size, std::string& out, long end) {
        while (buffer_.size() < size) {
            if (!fill(std::max(0L, end - now_ms()))) {
                return false;
            }
        }
        out += buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }

    bool read_line(std::string& out, long end) {
        std::size_t at = std::string::npos;
        while ((at = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill(std::max(0L, end - now_ms()))) {
                return false;
            }
        }
        out = buffer_.substr(0, at);
        buffer_.erase(0, at + 2);
        return true;
    }

    bool read_body(const field_map& fields, std::string& body, bool until_end, long timeout_ms) {
        const long end = now_ms() + timeout_ms;
        const auto coding = fields.find("transfer-encoding");
        if (coding != fields.end() && coding->second.find("chunked") != std::string::npos) {
            while (true) {
                std::string line;
                if (!read_line(line, end)) {
                    return false;
                }
                const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
                std::string ignored;
                if (size == 0) {
                    return read_line(ignored, end);
                }
                if (!read_exactly(size, body, end) || !read_exactly(2, ignored, end)) {
                    return false;
                }
            }
        }
        const auto length = fields.find("content-length");
        if (length != fields.end()) {
            return read_exactly(std::strtoul(length->second.c_str(), nullptr, 10), body, end);
        }
        if (until_end) {
            while (fill(std::max(0L, end - now_ms()))) {
            }
            body += buffer_;
            buffer_.clear();
            return ended_;
        }
        return true;
    }

    bool read_request(request& out, long timeout_ms) {
        std::string line;
        if (!read_head(line, out.fields, timeout_ms)) {
            return false;
        }
        out.method = line.substr(0, line.find(' '));
        const std::size_t begin = line.find(' ') + 1;
        out.target = line.substr(begin, line.rfind(' ') - begin);
        return read_body(out.fields, out.body, false, timeout_ms);
    }

    response read_response(long timeout_ms) {
        response out;
        const long end = now_ms() + timeout_ms;
        std::string line;
        if (read_head(line, out.fields, timeout_ms)) {
            out.status = std::atoi(line.c_str() + line.find(' '));
            out.complete = read_body(out.fields, out.body, true, std::max(0L, end - now_ms()));
        }
        out.closed = ended_;
        return out;
    }

private:
    int fd_;
    std::string buffer_;
    bool ended_ = false;
    bool timed_out_ = false;
};

using connection_ptr = std::shared_ptr<connection>;

/// Accepts connections on a loopback port and serves each on a thread of its own.
class server {
public:
    using handler = std::function<void(connection_ptr)>;

    server(std::string ip, int port, handler handle)
        : ip_(std::move(ip))
        , handle_(std::move(handle)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip_.c_str(), &at.sin_addr);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 1024) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof at;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        std::thread([this]() { accept_all(); }).detach();
    }

    int port() const { return port_; }

    std::string address() const { return ip_ + ":" + std::to_string(port_); }

private:
    void accept_all() {
        while (true) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const connection_ptr accepted = std::make_shared<connection>(fd);
            std::thread([this, accepted]() { handle_(accepted); }).detach();
        }
    }

    std::string ip_;
    handler handle_;
    int fd_ = -1;
    int port_ = 0;
};

inline std::string http_text(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: lists, watches and creates objects as the pages say.
class store {
public:
    store()
        : server_("127.0.0.1", 0, [this](connection_ptr c) { serve(std::move(c)); }) {}

    std::string address() const { return server_.address(); }

    /// Writes an object; `spec` is its JSON text.
    void put(const std::string& kind, const std::string& name, const std::string& spec) {
        const std::lock_guard<std::mutex> lock(mutex_);
        put_locked(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = objects_.find({kind, name});
        if (it != objects_.end()) {
            ++revision_;
            history_.push_back({revision_, kind, text_of(name, revision_, it->second.spec), true});
            objects_.erase(it);
            changed_.notify_all();
        }
    }

private:
    struct object {
        std::string spec;
        long revision = 0;
    };

    struct change {
        long revision = 0;
        std::string kind;
        std::string text;
        bool removed = false;
    };

    static std::string text_of(const std::string& name, long revision, const std::string& spec) {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
               R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":{}})";
    }

    void put_locked(const std::string& kind, const std::string& name, const std::string& spec) {
        ++revision_;
        objects_[{kind, name}] = {spec, revision_};
        history_.push_back({revision_, kind, text_of(name, revision_, spec), false});
        changed_.notify_all();
    }

    static std::string parameter(const std::string& target, const std::string& name) {
        const std::size_t query = target.find('?');
        if (query == std::string::npos) {
            return {};
        }
        std::size_t begin = query + 1;
        while (begin < target.size()) {
            std::size_t end = target.find('&', begin);
            end = end == std::string::npos ? target.size() : end;
            const std::string part = target.substr(begin, end - begin);
            if (part.compare(0, name.size() + 1, name + "=") == 0) {
                return part.substr(name.size() + 1);
            }
            begin = end + 1;
        }
        return {};
    }

    std::string list(const std::string& kind) {
        std::string items;
        for (const auto& row : objects_) {
            if (row.first.first == kind) {
                items += (items.empty() ? "" : ",") + text_of(row.first.second, row.second.revision, row.second.spec);
            }
        }
        return R"({"items":[)" + items + R"(],"has_more":false,"as_of":)" + std::to_string(revision_) + "}";
    }

    std::string events_after(const std::string& kind, long after) {
        std::string events;
        for (const change& row : history_) {
            if (row.kind == kind && row.revision > after) {
                events += (events.empty() ? "" : ",") + (R"({"object":)" + row.text + R"(,"tombstone":)" +
                                                         (row.removed ? "true" : "false") + "}");
            }
        }
        return events;
    }

    std::string answer(const request& message) {
        std::string path = message.target.substr(0, message.target.find('?'));
        const std::string prefix = "/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0) {
            return http_text(404, "", "");
        }
        path = path.substr(prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock<std::mutex> lock(mutex_);
        const std::string json = "Content-Type: application/json\r\n";
        if (message.method == "POST") {
            const std::size_t at = message.body.find("\"name\":\"");
            const std::size_t begin = at + 8;
            const std::string created = message.body.substr(begin, message.body.find('"', begin) - begin);
            const auto it = objects_.find({kind, created});
            if (it != objects_.end()) {
                return http_text(409, json, text_of(created, it->second.revision, it->second.spec));
            }
            put_locked(kind, created, "\"{}\"");
            return http_text(201, json, text_of(created, revision_, "\"{}\""));
        }
        if (message.method != "GET") {
            return http_text(404, "", "");
        }
        if (!name.empty()) {
            const auto it = objects_.find({kind, name});
            return it == objects_.end() ? http_text(404, "", "")
                                        : http_text(200, json, text_of(name, it->second.revision, it->second.spec));
        }
        const std::string watch = parameter(message.target, "watch");
        if (watch.empty()) {
            return http_text(200, json, list(kind));
        }
        const long after = std::atol(watch.c_str());
        const long wait = std::atol(parameter(message.target, "wait_ms").c_str());
        std::string events;
        changed_.wait_for(lock, std::chrono::milliseconds(wait), [&]() {
            events = events_after(kind, after);
            return !events.empty();
        });
        return http_text(200, json, R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(revision_) + "}");
    }

    void serve(connection_ptr c) {
        request message;
        while (c->read_request(message, 60000)) {
            const std::string text = answer(message);
            if (!c->send(text)) {
                return;
            }
            message = request();
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, object> objects_;
    std::vector<change> history_;
    long revision_ = 100;
    server server_;
};

/// Entry of a replica in the store.
inline std::string replica_entry(const std::string& service, const std::string& address, int slots,
                                 const std::string& state = "ready", long born = 0,
                                 const std::string& zone = "khi-a") {
    return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":")" + zone +
           R"(","version":1,"slots":)" + std::to_string(slots) + R"(,"state":")" + state +
           R"(","cold_left_ms":0,"seq":1,"born":)" + std::to_string(born != 0 ? born : unix_ms() - 60000) + "}";
}

/// A daemon of the system as a separate process, with the settings that the template of the deploy file gives.
class daemon_process {
public:
    daemon_process(std::string program, std::string folder, int number, std::string store_address)
        : program_(std::move(program))
        , folder_(std::move(folder))
        , number_(number)
        , store_(std::move(store_address))
        , ip_("127.0.0." + std::to_string(10 + number)) {}

    std::string ip() const { return ip_; }

    int front() const { return base_ + 0; }

    int ready_port() const { return base_ + 1; }

    std::string settings(const std::vector<std::string>& seeds) const {
        std::string list;
        for (const std::string& seed : seeds) {
            list += (list.empty() ? "\"" : ",\"") + seed + "\"";
        }
        const auto at = [this](int port) { return "\"" + ip_ + ":" + std::to_string(port) + "\""; };
        return R"({"environment":"production","vm":"edge-)" + std::to_string(number_) +
               R"(","failure_domain":"khi-a","caller_address":)" + at(base_) + R"(,"peer_address":)" +
               at(base_ + 2) + R"(,"operator_address":)" + at(base_ + 4) + R"(,"platform_addresses":[")" +
               store_ + R"("],"seed_peers":[)" + list +
               R"(],"cluster_secret":"daemons-of-one-environment","threads":1,)"
               R"("processor":{"core_share":0.25,"speed":1},"memory_mb":260,"max_descriptors":4100,)"
               R"("entries_max_age_ms":1000,"drain_limit_ms":5000,"log_level":"info","relay":{)"
               R"("readiness_address":)" +
               at(base_ + 1) + R"(,"entries_address":)" + at(base_ + 3) +
               R"(,"resend_ratio":0.2,"resend_window_s":10,"resend_extra":52}})";
    }

    std::string peer() const { return ip_ + ":" + std::to_string(base_ + 2); }

    void start(const std::vector<std::string>& seeds) {
        const std::string path = folder_ + "/settings-" + std::to_string(number_) + ".json";
        std::ofstream(path) << settings(seeds);
        const std::string log = folder_ + "/daemon-" + std::to_string(number_) + ".log";
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("RATTANBAY_SETTINGS", path.c_str(), 1);
            ::execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    /// Waits until the daemon says that it is ready.
    bool wait_ready(long limit_ms) const {
        const long end = now_ms() + limit_ms;
        while (now_ms() < end) {
            const connection_ptr c = connection::connect(ip_, ready_port());
            if (c && c->send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
                c->read_response(1000).status == 200) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    void signal(int number) const {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    /// Status if the process has ended.
    bool ended(int& status) {
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return true;
        }
        return pid_ <= 0;
    }

    void stop() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    pid_t pid() const { return pid_; }

    static inline int base_ = 0;

private:
    std::string program_;
    std::string folder_;
    int number_;
    std::string store_;
    std::string ip_;
    pid_t pid_ = -1;
};

/// A route of the host that the clients of a case use. `members` are further members, each after a comma.
inline std::string route(const std::string& name, const std::string& kind, const std::string& service, int timeout_ms,
                         const std::string& members = "") {
    return R"({"name":")" + name + R"(","host":"desk.example","path_prefix":"/)" + name + R"(/","kind":")" + kind +
           R"(","service":")" + service + R"(","timeout_ms":)" + std::to_string(timeout_ms) +
           R"(,"slo_ms":150,"priority":0,"max_attempts":2)" + members + "}";
}

inline std::string service(const std::string& name) {
    return R"({"name":")" + name + R"(","slots":6,"max_conns":96,"health_path":"/healthz"})";
}

inline std::string configuration(const std::string& routes, const std::string& services) {
    return R"({"version":7,"routes":[)" + routes + R"(],"services":[)" + services +
           R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,)"
           R"("idle_timeout_ms":20000}})";
}

/// Text of a request to a route, with a body of known length.
inline std::string request_text(const std::string& route_name, const std::string& id, long deadline_ms,
                                const std::string& body) {
    return "POST /" + route_name + "/2f HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Header fields of a replica's answer to a request.
inline std::string answer_fields(const std::string& id, const std::string& replica) {
    return "X-Attempt-Id: " + id + "\r\nX-Replica-Seal: " + replica + "." + id + "\r\n";
}

/// Finds five free ports in a row.
inline void choose_ports() {
    for (int base = 21000 + static_cast<int>(::getpid() % 300) * 20; base < 32000; base += 20) {
        bool free = true;
        for (int n = 0; n < 5 && free; ++n) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in at{};
            at.sin_family = AF_INET;
            at.sin_port = htons(static_cast<std::uint16_t>(base + n));
            at.sin_addr.s_addr = INADDR_ANY;
            free = ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
            ::close(fd);
        }
        if (free) {
            daemon_process::base_ = base;
            return;
        }
    }
    std::exit(2);
}

} // namespace kit
