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

/// How long a caller waits for an answer that comes after the deadline.
constexpr base::duration late_grace = std::chrono::milliseconds(500);

std::string draw_run_id(std::uint64_t seed) {
    constexpr std::size_t digits = 10;
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch().count();
    return base::fast_hash(std::to_string(seed) + "/" + std::to_string(since_epoch)).text().substr(0, digits);
}

} // namespace

load_run::load_run(asio::io_context& context, load_options options, load_generator::finished_handler finished)
    : options_(std::move(options))
    , finished_(std::move(finished))
    , strand_(asio::make_strand(context))
    , plan_(options_)
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
    constexpr base::duration longest_sleep = std::chrono::milliseconds(50);
    start_ = now();
    for (std::optional<arrival> due = plan_.next(); due && !stopped_; due = plan_.next()) {
        for (base::duration wait = start_ + due->at - now(); wait > base::duration::zero() && !stopped_;
             wait = start_ + due->at - now()) {
            co_await sleep_for(std::min(wait, longest_sleep));
        }
        if (stopped_) {
            break;
        }
        if (in_progress_ >= options_.max_in_progress) {
            recorder_.add_dropped();
            continue;
        }
        ++in_progress_;
        asio::co_spawn(
            strand_, [self, request = std::move(*due)]() { return self->run_request(request); },
            asio::detached);
    }
    all_sent_ = true;
    finish_if_done();
}

asio::awaitable<void> load_run::run_request(arrival due) {
    const std::shared_ptr<load_run> self = shared_from_this();
    constexpr base::duration retry_pause = std::chrono::milliseconds(100);
    caller& from = *callers_[due.account][due.caller];
    caller_request request(request_plan{pipeline(due).idempotent, caller_part(due), deadline(due)});
    if (from.entries.stale(now())) {
        co_await refresh_entries(from);
    }
    call_result last;
    last.event = request_ready{};
    while (true) {
        const request_action action = request.handle(last.event, from.entries, now());
        if (const finish_request* const end = std::get_if<finish_request>(&action)) {
            record(due, request, *end, last);
            break;
        }
        if (const send_request* const order = std::get_if<send_request>(&action)) {
            last = co_await send(from, due, *order);
            continue;
        }
        co_await sleep_for(retry_pause);
        co_await refresh_entries(from);
        last.event = request_ready{};
    }
    --in_progress_;
    finish_if_done();
}

asio::awaitable<void> load_run::refresh_entries(caller& from) {
    constexpr std::size_t max_tries = 4;
    constexpr base::duration longest_wait = std::chrono::seconds(2);
    if (from.refreshing) {
        // Another request of this caller asks already.
        const std::shared_ptr<change_signal::waiter> entered = from.refreshed.enter(strand_);
        co_await change_signal::wait(entered, longest_wait);
        co_return;
    }
    from.refreshing = true;
    bool adopted = false;
    for (std::size_t n = 0; n < max_tries && !adopted; ++n) {
        adopted = co_await ask_for_entries(from);
    }
    from.refreshing = false;
    from.refreshed.notify();
}

asio::awaitable<bool> load_run::ask_for_entries(caller& from) {
    http::exchange_timeouts limits;
    limits.response_header = std::chrono::seconds(1);
    const base::address target = from.entries.take_refresh_target(now());
    http::request message;
    message.method = "GET";
    message.target = "/v1/entries";
    message.fields.add("Authorization", "Bearer " + from.token);
    recorder_.add_entry_call();
    const asio::any_io_executor executor(strand_);
    const base::result<http::response> answer =
        co_await http::exchange(executor, from.pool, target, std::move(message), limits);
    if (answer && answer->status == 200) {
        base::result<entry_list> list = entry_list::parse(answer->body);
        if (list) {
            from.entries.adopt(std::move(*list), now());
            co_return true;
        }
    }
    from.entries.record_failure(target, now());
    co_return false;
}

asio::awaitable<call_result> load_run::send(caller& from, const arrival& due, send_request action) {
    co_await sleep_for(action.pause);
    caller_call call;
    call.address = action.address;
    call.message = build_request(from, due, action.key);
    call.stream = pipeline(due).stream;
    call.silence_limit = options_.silence_limit;
    call.give_up_at = deadline(due) + late_grace;
    co_return co_await carry_out(from.pool, std::move(call));
}

http::request load_run::build_request(const caller& from, const arrival& due, const std::string& key) const {
    const pipeline_load& load = pipeline(due);
    json body{{"stream", load.stream}, {"max_tokens", load.max_tokens}};
    if (load.seed) {
        body["seed"] = *load.seed;
    }
    body[load.stream ? "prompt" : "input"] = due.input;
    if (load.stream) {
        body["model"] = load.name;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline(due) - now()).count();
    http::request out;
    out.method = "POST";
    out.target = load.stream ? std::string("/v1/completions") : "/v1/pipelines/" + load.name + "/runs";
    out.fields = http::fields{{"Authorization", "Bearer " + from.token},
                              {"Content-Type", "application/json"},
                              {"X-Request-Deadline-Ms", std::to_string(std::max<std::int64_t>(left, 1))},
                              {"X-Request-Id", caller_part(due)}};
    if (!key.empty()) {
        out.fields.add("Idempotency-Key", key);
    }
    out.body = body.dump();
    return out;
}

void load_run::record(const arrival& due, const caller_request& request, const finish_request& end,
                      const call_result& last) {
    const base::time_point at = now();
    const base::time_point due_at = start_ + due.at;
    request_result result;
    result.pipeline = due.pipeline;
    result.latency = at - due_at;
    result.before_deadline = at <= deadline(due);
    result.problem = end.problem;
    result.outcome = end.outcome;
    result.sends = request.sends();
    result.keys = request.keys();
    if (std::holds_alternative<request_succeeded>(last.event)) {
        const bool other_id = last.request_id && *last.request_id != caller_part(due);
        result.verdict =
            other_id ? answer_verdict::crossed : check_output(pipeline(due), due.input, last.output);
    }
    if (last.first_token) {
        result.first_token = *last.first_token - due_at;
    }
    recorder_.add(result);
}

void load_run::finish_if_done() {
    if (!all_sent_ || in_progress_ > 0 || !finished_) {
        return;
    }
    const load_generator::finished_handler finished = std::move(finished_);
    finished_ = nullptr;
    finished(recorder_.report(now() - start_));
}

base::time_point load_run::deadline(const arrival& due) const {
    return start_ + due.at + pipeline(due).deadline;
}

std::string load_run::caller_part(const arrival& due) const {
    return run_id_ + "-" + std::to_string(due.sequence);
}

} // namespace rattanbay::emulator::internal
