#pragma once

#include <rattanbay/base/hash.hpp>
#include <rattanbay/config/document_object.hpp>
#include <rattanbay/daemon.hpp>
#include <rattanbay/emulator.hpp>
#include <rattanbay/http.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Platform emulator, endpoints and daemons in this process, on loopback addresses.
class test_cluster {
public:
    explicit test_cluster(std::size_t daemons)
        : work_guard_(boost::asio::make_work_guard(context_)) {
        for (int n = 0; n < 2; ++n) {
            threads_.emplace_back([this]() { context_.run(); });
        }
        start_platform();
        start_endpoints();
        publish_document(1);
        for (std::size_t n = 0; n < daemons; ++n) {
            daemons_.push_back(nullptr);
            start_daemon(n);
        }
    }

    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    ~test_cluster() {
        daemons_.clear();
        encoders.clear();
        desks.clear();
        engines.clear();
        platform.reset();
        work_guard_.reset();
        context_.stop();
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    /// Starts daemon `n` at its address, after destroying a daemon already running there.
    void start_daemon(std::size_t n) {
        daemons_[n].reset();
        daemons_[n] = rattanbay::daemon::daemon::start(settings_of(n)).value();
    }

    /// Destroys daemon `n` immediately, without a planned stop.
    void destroy_daemon(std::size_t n) { daemons_[n].reset(); }

    rattanbay::daemon::daemon& daemon(std::size_t n) { return *daemons_[n]; }

    /// Text of a document with the given revision.
    static std::string document_text(std::uint64_t revision) {
        nlohmann::json document = nlohmann::json::parse(R"({
            "cost_weight": 0.3, "max_concurrent_requests": 256,
            "services": {
                "encoder": {"kind": "worker_pool", "expected_ms": 5, "concurrency": 8, "reports_load": false},
                "order-desk": {"kind": "plain_service", "expected_ms": 10, "concurrency": 8, "reports_load": true},
                "writer": {"kind": "model_engine", "expected_ms": 200, "concurrency": 8, "reports_load": true,
                           "checks_fencing": true}},
            "pipelines": {
                "encode": {"deadline_ms": 8000, "stages": [{"name": "encode", "service": "encoder"}]},
                "plan": {"deadline_ms": 8000, "stages": [{"name": "encode", "service": "encoder"},
                         {"name": "rerank", "service": "encoder"}, {"name": "generate", "service": "writer"}]},
                "book": {"deadline_ms": 4000, "stages": [{"name": "book", "service": "order-desk", "idempotent": false}]}},
            "accounts": {
                "planners": {"requests_per_second": 500, "burst": 500, "concurrency": 256, "priority": 0}}})");
        document["revision"] = revision;
        document["accounts"]["planners"]["token_sha256"] = rattanbay::base::sha256_hex("planner-token");
        return document.dump();
    }

    /// Writes a document with the given revision to the platform.
    void publish_document(std::uint64_t revision) {
        const rattanbay::config::environment_document document =
            rattanbay::config::environment_document::parse(document_text(revision)).value();
        const rattanbay::config::document_object object = rattanbay::config::document_object::of(document);
        rattanbay::object_api::write_object write{rattanbay::config::document_object::key("production"),
                                                  document_version_, object.serialize()};
        const rattanbay::object_api::answer answer = call(write);
        document_version_ = std::get<rattanbay::object_api::written>(answer).version;
    }

    rattanbay::object_api::answer call(rattanbay::object_api::call request) {
        return boost::asio::co_spawn(context_,
                                     platform_client_->call(context_.get_executor(), std::move(request)),
                                     boost::asio::use_future)
            .get();
    }

    /// Sends a request to an address on a new connection and returns the response.
    rattanbay::base::result<rattanbay::http::response> exchange(const rattanbay::base::address& to,
                                                                rattanbay::http::request message) {
        rattanbay::http::exchange_limits limits;
        limits.response_header = std::chrono::seconds(10);
        // Some responses are streams that take seconds.
        limits.body_read = std::chrono::seconds(10);
        return boost::asio::co_spawn(
                   context_,
                   rattanbay::http::exchange_once(context_.get_executor(), to, std::move(message), limits),
                   boost::asio::use_future)
            .get();
    }

    /// Runs a pipeline at daemon `n`.
    rattanbay::base::result<rattanbay::http::response> run(std::size_t n, const std::string& pipeline,
                                                           const std::string& body,
                                                           const std::string& key = "",
                                                           const std::string& request_id = "") {
        rattanbay::http::request message{"POST", "/v1/pipelines/" + pipeline + "/runs", {}, body};
        message.fields.add("Authorization", "Bearer planner-token");
        if (!key.empty()) {
            message.fields.add("Idempotency-Key", key);
        }
        if (!request_id.empty()) {
            message.fields.add("X-Request-Id", request_id);
        }
        return exchange(caller_address(n), std::move(message));
    }

    nlohmann::json get(const rattanbay::base::address& from, const std::string& target) {
        const rattanbay::base::result<rattanbay::http::response> answer =
            exchange(from, rattanbay::http::request{"GET", target, {}, ""});
        return answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
    }

    nlohmann::json status(std::size_t n) { return get(operator_address(n), "/v1/status"); }

    /// Key prefix of class `recorded` issued by daemon `n`, read from the entry list of daemon `queried`.
    std::string key_prefix(std::size_t n, std::size_t queried) {
        // The list contains at most four daemons chosen at random; it is read until it contains daemon `n`.
        std::string found;
        wait_until([this, n, queried, &found]() {
            const nlohmann::json list = get(caller_address(queried), "/v1/entries");
            for (const nlohmann::json& row : list.value("entries", nlohmann::json::array())) {
                const std::string prefix = row.at("key_prefix").get<std::string>();
                if (row.at("address") == caller_address(n).text() && prefix.starts_with("rb1-r-")) {
                    found = prefix;
                }
            }
            return !found.empty();
        });
        return found;
    }

    /// Waits at most 30 s until a condition holds. Returns whether it holds.
    static bool wait_until(const std::function<bool()>& condition) {
        constexpr std::chrono::seconds timeout{30};
        constexpr std::chrono::milliseconds poll_interval{20};
        const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + timeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(poll_interval);
        }
        return true;
    }

    /// Waits until all running daemons are ready; see `is_ready`.
    bool wait_until_ready(std::uint64_t revision) {
        return wait_until([this, revision]() {
            std::size_t running = 0;
            for (const std::unique_ptr<rattanbay::daemon::daemon>& next : daemons_) {
                running += next ? 1 : 0;
            }
            for (std::size_t n = 0; n < daemons_.size(); ++n) {
                if (daemons_[n] && !is_ready(n, revision, running)) {
                    return false;
                }
            }
            return true;
        });
    }

    /// Number of executions, at all order desks, of keys that end with the given suffix.
    std::uint64_t executions(const std::string& key_suffix) const {
        std::uint64_t total = 0;
        for (const std::unique_ptr<rattanbay::emulator::plain_service>& desk : desks) {
            const rattanbay::emulator::execution_counts counts = desk->executions();
            for (const std::pair<const std::string, std::uint64_t>& row : counts.by_key()) {
                total += row.first.ends_with("." + key_suffix) ? row.second : 0;
            }
        }
        return total;
    }

    /// Whether daemon `n` is ready, serves the given revision and knows `running` live daemons that serve it.
    bool is_ready(std::size_t n, std::uint64_t revision, std::size_t running) {
        const nlohmann::json state = status(n);
        if (!state.is_object() || state.at("revision") != revision || state.at("ready") != true) {
            return false;
        }
        std::size_t live = 0;
        for (const nlohmann::json& member : state.at("members")) {
            const bool current = member.at("revision") == revision;
            live += member.at("status") == "live" && current ? 1 : 0;
        }
        return live == running;
    }

    rattanbay::base::address caller_address(std::size_t n) const { return address(n + 1, 8080); }

    rattanbay::base::address operator_address(std::size_t n) const { return address(n + 1, 9000); }

    void set_vms(bool desk_leaving = false) {
        using rattanbay::object_api::vm;
        std::vector<vm> vms;
        const auto add = [&vms](const std::string& service, std::size_t n,
                                const rattanbay::base::address& where,
                                rattanbay::object_api::vm_state state) {
            const std::string domain(1, static_cast<char>('a' + n % 3));
            vms.push_back(vm{rattanbay::base::vm_id(service + "-" + std::to_string(n)),
                             rattanbay::base::service_name(service), where,
                             rattanbay::base::failure_domain(domain), state});
        };
        for (std::size_t n = 0; n < encoders.size(); ++n) {
            add("encoder", n, encoders[n]->address(), rattanbay::object_api::vm_state::live);
        }
        for (std::size_t n = 0; n < desks.size(); ++n) {
            const bool leaving = desk_leaving && n == 0;
            add("order-desk", n, desks[n]->address(),
                leaving ? rattanbay::object_api::vm_state::leaving : rattanbay::object_api::vm_state::live);
        }
        for (std::size_t n = 0; n < engines.size(); ++n) {
            add("writer", n, engines[n]->address(), rattanbay::object_api::vm_state::live);
        }
        platform->set_vms(std::move(vms));
    }

    rattanbay::config::settings settings_of(std::size_t n) const {
        rattanbay::config::settings settings;
        settings.environment = "production";
        settings.vm = rattanbay::base::vm_id("entry-" + std::to_string(n));
        settings.failure_domain =
            rattanbay::base::failure_domain(std::string(1, static_cast<char>('a' + n % 3)));
        settings.caller_address = caller_address(n);
        settings.peer_address = address(n + 1, 7000);
        settings.operator_address = operator_address(n);
        settings.platform_addresses = {platform->address()};
        settings.seed_peers = {address(1, 7000), address(2, 7000)};
        settings.cluster_secret = "integration-secret";
        settings.threads = 2;
        settings.entries_max_age = std::chrono::milliseconds(300);
        return settings;
    }

    std::unique_ptr<rattanbay::emulator::platform_service> platform;
    std::vector<std::unique_ptr<rattanbay::emulator::worker_pool>> encoders;
    std::vector<std::unique_ptr<rattanbay::emulator::plain_service>> desks;
    std::vector<std::unique_ptr<rattanbay::emulator::model_engine>> engines;

private:
    std::uint8_t instance_number_ = next_instance_number();

    /// Loopback address that is not used by test clusters of other processes or by earlier ones of this
    /// process.
    rattanbay::base::address address(std::size_t host, std::uint16_t port) const {
        constexpr unsigned max_processes = 200;
        const unsigned process_index = static_cast<unsigned>(::getpid()) % max_processes;
        return {{127, static_cast<std::uint8_t>(2 + process_index), instance_number_,
                 static_cast<std::uint8_t>(host)},
                port};
    }

    static std::uint8_t next_instance_number() {
        static std::uint8_t number = 0;
        return number++;
    }

    void start_platform() {
        rattanbay::emulator::platform_options options;
        options.address = address(100, 2379);
        options.vm_list_lag = std::chrono::milliseconds(100);
        platform = rattanbay::emulator::platform_service::start(context_, options).value();
        platform_client_.emplace(std::vector<rattanbay::base::address>{options.address},
                                 std::make_shared<rattanbay::object_api::object_protocol>(),
                                 [](std::string_view, bool, const rattanbay::base::error*) {});
    }

    void start_endpoints() {
        for (std::size_t n = 0; n < 3; ++n) {
            rattanbay::emulator::worker_options worker;
            worker.address = address(110 + n, 8000);
            worker.service_time = std::chrono::milliseconds(2);
            encoders.push_back(rattanbay::emulator::worker_pool::start(context_, worker).value());
            rattanbay::emulator::plain_options desk;
            desk.address = address(120 + n, 8000);
            desk.service_time = std::chrono::milliseconds(5);
            desks.push_back(rattanbay::emulator::plain_service::start(context_, desk).value());
            rattanbay::emulator::engine_options engine;
            engine.address = address(130 + n, 8000);
            engines.push_back(rattanbay::emulator::model_engine::start(context_, engine).value());
        }
        set_vms();
    }

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
    std::vector<std::thread> threads_;
    std::optional<rattanbay::daemon::platform_client> platform_client_;
    std::optional<std::uint64_t> document_version_;
    std::vector<std::unique_ptr<rattanbay::daemon::daemon>> daemons_;
};
