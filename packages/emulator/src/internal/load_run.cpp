#include "load_run.hpp"

#include "clock.hpp"

#include <rattanbay/base/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

namespace {

using json = nlohmann::json;

/// How long a caller waits for an answer after the deadline.
constexpr base::duration late_answer_timeout = std::chrono::milliseconds(500);

std::string draw_run_id(std::uint64_t seed) {
    constexpr std::size_t digits = 10;
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch().count();
    return base::fast_hash(std::to_string(seed) + "/" + std::to_string(since_epoch)).text().substr(0, digits);
}

} // namespace

load_run::load_run(asio::io_context& context, load_options options,
                   load_generator::completion_handler on_finished)
    : options_(std::move(options))
    , on_finished_(std::move(on_finished))
    , strand_(asio::make_strand(context))
    , arrivals_(options_)
    , recorder_(options_.pipelines)
    , run_id_(draw_run_id(options_.seed)) {
    for (const account_load& account : options_.accounts) {
        callers_.emplace_back();
        for (std::size_t n = 0; n < account.callers; ++n) {
            callers_.back().push_back(std::make_unique<caller>(options_, account.token));
        }
    }
}

void load_run::start() {
    const std::shared_ptr<load_run> self = shared_from_this();
    asio::co_spawn(
        strand_, [self]() { return self->run(); }, asio::detached);
}

asio::awaitable<void> load_run::run() {
    const std::shared_ptr<load_run> self = shared_from_this();
    constexpr base::duration max_sleep = std::chrono::milliseconds(50);
    start_ = now();
    for (std::optional<request_arrival> arrival = arrivals_.next(); arrival && !stopped_;
         arrival = arrivals_.next()) {
        for (base::duration wait = start_ + arrival->at - now(); wait > base::duration::zero() && !stopped_;
             wait = start_ + arrival->at - now()) {
            co_await sleep_for(std::min(wait, max_sleep));
        }
        if (stopped_) {
            break;
        }
        if (in_progress_ >= options_.max_in_progress) {
            recorder_.count_dropped();
            continue;
        }
        ++in_progress_;
        asio::co_spawn(
            strand_, [self, request = std::move(*arrival)]() { return self->run_request(request); },
            asio::detached);
    }
    all_arrivals_started_ = true;
    finish_if_done();
}

asio::awaitable<void> load_run::run_request(request_arrival arrival) {
    const std::shared_ptr<load_run> self = shared_from_this();
    constexpr base::duration retry_interval = std::chrono::milliseconds(100);
    caller& sender = *callers_[arrival.account][arrival.caller];
    caller_request request(
        request_parameters{pipeline(arrival).idempotent, request_id(arrival), deadline(arrival)});
    if (sender.entries.stale(now())) {
        co_await refresh_entries(sender);
    }
    call_result last;
    last.event = request_ready{};
    while (true) {
        const request_action action = request.handle(last.event, sender.entries, now());
        if (const finish_request* const finish_action = std::get_if<finish_request>(&action)) {
            record(arrival, request, *finish_action, last);
            break;
        }
        if (const send_request* const send_action = std::get_if<send_request>(&action)) {
            last = co_await send(sender, arrival, *send_action);
            continue;
        }
        co_await sleep_for(retry_interval);
        co_await refresh_entries(sender);
        last.event = request_ready{};
    }
    --in_progress_;
    finish_if_done();
}

asio::awaitable<void> load_run::refresh_entries(caller& sender) {
    constexpr std::size_t max_attempts = 4;
    constexpr base::duration max_wait = std::chrono::seconds(2);
    if (sender.refreshing) {
        // Another request of this caller is already fetching the list.
        const std::shared_ptr<change_signal::waiter> registered = sender.refreshed.register_waiter(strand_);
        co_await change_signal::wait(registered, max_wait);
        co_return;
    }
    sender.refreshing = true;
    bool updated = false;
    for (std::size_t n = 0; n < max_attempts && !updated; ++n) {
        updated = co_await try_fetch_entries(sender);
    }
    sender.refreshing = false;
    sender.refreshed.notify();
}

asio::awaitable<bool> load_run::try_fetch_entries(caller& sender) {
    http::exchange_limits limits;
    limits.response_header = std::chrono::seconds(1);
    const base::address target = sender.entries.next_refresh_target(now());
    http::request message;
    message.method = "GET";
    message.target = "/v1/entries";
    message.fields.add("Authorization", "Bearer " + sender.token);
    recorder_.count_entry_call();
    const asio::any_io_executor executor(strand_);
    const base::result<http::response> answer =
        co_await http::exchange(executor, sender.pool, target, std::move(message), limits);
    if (answer && answer->status == 200) {
        base::result<entry_list> list = entry_list::parse(answer->body);
        if (list) {
            sender.entries.update(std::move(*list), now());
            co_return true;
        }
    }
    sender.entries.record_failure(target, now());
    co_return false;
}

asio::awaitable<call_result> load_run::send(caller& sender, const request_arrival& arrival,
                                            send_request action) {
    co_await sleep_for(action.backoff);
    entry_call call;
    call.address = action.address;
    call.message = build_request(sender, arrival, action.key);
    call.stream = pipeline(arrival).stream;
    call.inactivity_timeout = options_.inactivity_timeout;
    call.wait_deadline = deadline(arrival) + late_answer_timeout;
    co_return co_await perform_call(sender.pool, std::move(call));
}

http::request load_run::build_request(const caller& sender, const request_arrival& arrival,
                                      const std::string& key) const {
    const pipeline_load& load = pipeline(arrival);
    json body{{"stream", load.stream}, {"max_tokens", load.max_tokens}};
    if (load.seed) {
        body["seed"] = *load.seed;
    }
    body[load.stream ? "prompt" : "input"] = arrival.input;
    if (load.stream) {
        body["model"] = load.name;
    }
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline(arrival) - now()).count();
    http::request out;
    out.method = "POST";
    out.target = load.stream ? std::string("/v1/completions") : "/v1/pipelines/" + load.name + "/runs";
    out.fields = http::fields{{"Authorization", "Bearer " + sender.token},
                              {"Content-Type", "application/json"},
                              {"X-Request-Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining, 1))},
                              {"X-Request-Id", request_id(arrival)}};
    if (!key.empty()) {
        out.fields.add("Idempotency-Key", key);
    }
    out.body = body.dump();
    return out;
}

void load_run::record(const request_arrival& arrival, const caller_request& request,
                      const finish_request& end, const call_result& last) {
    const base::time_point at = now();
    const base::time_point due_at = start_ + arrival.at;
    request_result result;
    result.pipeline = arrival.pipeline;
    result.latency = at - due_at;
    result.before_deadline = at <= deadline(arrival);
    result.problem = end.problem;
    result.outcome = end.outcome;
    result.send_count = request.send_count();
    result.keys = request.keys();
    if (std::holds_alternative<request_succeeded>(last.event)) {
        const bool other_id = last.request_id && *last.request_id != request_id(arrival);
        result.verdict =
            other_id ? answer_verdict::crossed : check_output(pipeline(arrival), arrival.input, last.output);
    }
    if (last.first_token) {
        result.first_token = *last.first_token - due_at;
    }
    recorder_.add(result);
}

void load_run::finish_if_done() {
    if (!all_arrivals_started_ || in_progress_ > 0 || !on_finished_) {
        return;
    }
    const load_generator::completion_handler on_finished = std::move(on_finished_);
    on_finished_ = nullptr;
    on_finished(recorder_.report(now() - start_));
}

base::time_point load_run::deadline(const request_arrival& arrival) const {
    return start_ + arrival.at + pipeline(arrival).deadline;
}

std::string load_run::request_id(const request_arrival& arrival) const {
    return run_id_ + "-" + std::to_string(arrival.sequence);
}

} // namespace rattanbay::emulator::internal
