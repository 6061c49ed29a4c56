#include "platform_state.hpp"

#include "clock.hpp"
#include "platform_json.hpp"

#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace rattanbay::emulator::internal {

namespace {

using json = nlohmann::json;

constexpr std::string_view objects_path = "/v1/objects/";
constexpr std::string_view watch_path = "/v1/watch/";

std::optional<std::uint64_t> to_number(std::string_view text) {
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

std::uint64_t number_parameter(const http::request& message, std::string_view name) {
    const std::optional<std::string> text = http::query_parameter(message.target, name);
    return text ? to_number(*text).value_or(0) : 0;
}

/// Parses "kind/name" or "kind"; the name is empty in the latter case.
std::optional<object_api::object_key> parse_key(std::string_view text) {
    const std::size_t slash = text.find('/');
    object_api::object_key key;
    key.kind = std::string(text.substr(0, slash));
    bool has_one_name = true;
    if (slash != std::string_view::npos) {
        const std::string_view name = text.substr(slash + 1);
        has_one_name = !name.empty() && name.find('/') == std::string_view::npos;
        key.name = http::percent_decode(name);
    }
    return !key.kind.empty() && has_one_name ? std::optional(key) : std::nullopt;
}

bool modifies_state(const http::request& message) {
    return message.method == "PUT" || message.method == "DELETE";
}

} // namespace

asio::awaitable<void> platform_state::handle(const http::request& message, http::responder& out) {
    const std::shared_ptr<platform_state> self = shared_from_this();
    http::response answer;
    if (handle_control(message, answer)) {
        co_await out.send(std::move(answer));
        co_return;
    }
    const std::string_view path = http::target_path(message.target);
    const platform_fault initial_fault = fault();
    if (initial_fault.mode == platform_fault_mode::down) {
        count_call("refused");
        out.abort();
        co_return;
    }
    co_await sleep_for(options_.latency);
    if (initial_fault.mode == platform_fault_mode::slow) {
        co_await sleep_for(initial_fault.delay);
    }
    if (path == "/v1/vms") {
        answer = co_await handle_vms(message);
    } else if (path.starts_with(watch_path)) {
        answer = co_await handle_watch(message);
    } else if (path.starts_with(objects_path)) {
        answer = co_await handle_objects(message);
    } else {
        answer = error_response(404, "no such call");
    }
    const platform_fault_mode final_mode = fault().mode;
    const bool lost = final_mode == platform_fault_mode::lose_answers && modifies_state(message);
    if (lost || final_mode == platform_fault_mode::down) {
        out.abort();
        co_return;
    }
    co_await out.send(std::move(answer));
}

bool platform_state::handle_control(const http::request& message, http::response& answer) {
    const std::string_view path = http::target_path(message.target);
    if (message.method == "GET" && path == "/v1/calls") {
        answer = http::json_response(200, json(calls()).dump());
        return true;
    }
    if (message.method == "POST" && path == "/v1/faults") {
        const base::result<platform_fault> parsed = parse_platform_fault(message.body);
        if (parsed) {
            set_fault(*parsed);
        }
        answer = parsed ? http::json_response(200, "{}") : error_response(400, parsed.error().message);
        return true;
    }
    if (message.method == "PUT" && path == "/v1/vms") {
        base::result<std::vector<object_api::vm>> parsed = parse_vms(message.body);
        answer = parsed ? http::json_response(200, json{{"version", set_vms(std::move(*parsed))}}.dump())
                        : error_response(400, parsed.error().message);
        return true;
    }
    return false;
}

asio::awaitable<http::response> platform_state::handle_objects(const http::request& message) {
    const std::string_view path = http::target_path(message.target);
    const std::optional<object_api::object_key> key = parse_key(path.substr(objects_path.size()));
    if (!key) {
        co_return error_response(400, "the path has to be /v1/objects/{kind}/{name}");
    }
    if (message.method == "GET") {
        co_return read_or_list(*key);
    }
    if (key->name.empty()) {
        co_return error_response(405, "a kind can only be listed");
    }
    if (message.method == "PUT") {
        co_return write(message, *key);
    }
    if (message.method == "DELETE") {
        co_return remove(message, *key);
    }
    co_return error_response(405, "the method is not allowed");
}

asio::awaitable<http::response> platform_state::handle_watch(const http::request& message) {
    const std::string_view path = http::target_path(message.target);
    const std::optional<object_api::object_key> key = parse_key(path.substr(watch_path.size()));
    if (!key || key->name.empty() || message.method != "GET") {
        co_return error_response(400, "the call has to be GET /v1/watch/{kind}/{name}");
    }
    count_call("watch");
    const std::uint64_t after = number_parameter(message, "after");
    state_query query = [this, key, after](base::time_point at) -> std::optional<object_api::answer> {
        object_api::answer found = store_.read(*key, at);
        const object_api::object* const present = std::get_if<object_api::object>(&found);
        if (present == nullptr || present->version <= after) {
            return std::nullopt;
        }
        return found;
    };
    const base::duration timeout =
        base::from_milliseconds(static_cast<std::int64_t>(number_parameter(message, "wait_ms")));
    co_return co_await watch(std::move(query), timeout);
}

asio::awaitable<http::response> platform_state::handle_vms(const http::request& message) {
    if (message.method != "GET") {
        co_return error_response(405, "the method is not allowed");
    }
    count_call("watch_vms");
    const std::uint64_t after = number_parameter(message, "after");
    state_query query = [this, after](base::time_point at) -> std::optional<object_api::answer> {
        object_api::vm_list list = vms_.visible(at);
        if (after != 0 && list.version.number() <= after) {
            return std::nullopt;
        }
        return list;
    };
    const base::duration timeout =
        base::from_milliseconds(static_cast<std::int64_t>(number_parameter(message, "wait_ms")));
    co_return co_await watch(std::move(query), timeout);
}

asio::awaitable<http::response> platform_state::watch(state_query query, base::duration timeout) {
    // Changes that become visible by time alone (VM list lag, fault `stale`) are not notified, so
    // they are polled.
    constexpr base::duration poll_interval = std::chrono::milliseconds(20);
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const base::time_point end = now() + timeout;
    while (true) {
        const std::shared_ptr<change_signal::waiter> registered = changed_.register_waiter(executor);
        base::duration wait = end - now();
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const bool is_silent =
                fault_.mode == platform_fault_mode::silent_watches && timeout > base::duration::zero();
            const std::optional<object_api::answer> found = query(read_time());
            if (found && !is_silent) {
                co_return to_response(*found);
            }
            const bool changes_with_time =
                fault_.mode == platform_fault_mode::stale || vms_.next_change(read_time()).has_value();
            wait = changes_with_time ? std::min(wait, poll_interval) : wait;
        }
        if (stopped_ || wait <= base::duration::zero()) {
            co_return to_response(object_api::unchanged{});
        }
        co_await change_signal::wait(registered, wait);
    }
}

http::response platform_state::read_or_list(const object_api::object_key& key) {
    count_call(key.name.empty() ? "list" : "read");
    const std::lock_guard<std::mutex> lock(mutex_);
    if (key.name.empty()) {
        return to_response(store_.list(key.kind, read_time()));
    }
    return to_response(store_.read(key, read_time()));
}

http::response platform_state::write(const http::request& message, const object_api::object_key& key) {
    count_call("write");
    const std::optional<std::string> expected = message.fields.find("If-Match");
    const std::optional<std::string> absent = message.fields.find("If-None-Match");
    object_api::write_object call{key, std::nullopt, message.body};
    if (expected) {
        call.expected_version = to_number(*expected);
    }
    if (!call.expected_version && absent != "*") {
        return error_response(428, "a write needs If-Match with a version or If-None-Match: *");
    }
    if (!json::accept(message.body)) {
        return error_response(400, "the value has to be JSON");
    }
    object_api::answer done;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        done = store_.write(call, now());
    }
    changed_.notify();
    return to_response(done);
}

http::response platform_state::remove(const http::request& message, const object_api::object_key& key) {
    count_call("delete");
    const std::optional<std::string> expected = message.fields.find("If-Match");
    const std::optional<std::uint64_t> version = expected ? to_number(*expected) : std::nullopt;
    if (!version) {
        return error_response(428, "a deletion needs If-Match with a version");
    }
    const object_api::delete_object call{key, *version};
    const std::lock_guard<std::mutex> lock(mutex_);
    return to_response(store_.remove(call, now()));
}

std::uint64_t platform_state::set_vms(std::vector<object_api::vm> vms) {
    std::uint64_t version = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        version = store_.next_version();
        vms_.set(object_api::vm_list{{0, version}, std::move(vms)}, now());
    }
    changed_.notify();
    return version;
}

void platform_state::set_fault(platform_fault fault) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        fault.delay =
            std::min(fault.delay, fault.mode == platform_fault_mode::stale ? options_.history_retention
                                                                           : base::duration::max());
        fault_ = fault;
    }
    changed_.notify();
}

std::map<std::string, std::uint64_t> platform_state::calls() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_;
}

void platform_state::stop() {
    stopped_ = true;
    changed_.notify();
}

void platform_state::count_call(const char* kind) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++calls_[kind];
}

platform_fault platform_state::fault() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return fault_;
}

base::time_point platform_state::read_time() const {
    return fault_.mode == platform_fault_mode::stale ? now() - fault_.delay : now();
}

} // namespace rattanbay::emulator::internal
