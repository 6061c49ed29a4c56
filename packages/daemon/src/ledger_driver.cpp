#include "internal/ledger_driver.hpp"

#include "internal/clock.hpp"

#include <rattanbay/base/answer_time.hpp>
#include <rattanbay/caller/run_response.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

constexpr int status_ok = 200;
/// Part of the time until a request's deadline that is reserved for sealing the owner's record if forwarding
/// fails.
constexpr std::chrono::milliseconds seal_time_reserve{500};
/// Time allowed for connecting to the owner. The owner's record is not sealed if less time is left.
constexpr std::chrono::milliseconds connect_time_reserve{300};
/// Timeout of platform calls of the ledger; equal to the maximum time that a key waits for its commit.
constexpr std::chrono::milliseconds platform_call_timeout{250};

ledger::owner_options owner_options_for(const config::settings& settings) {
    ledger::owner_options options;
    options.peer_address = settings.peer_address;
    options.cluster_secret = settings.cluster_secret;
    return options;
}

/// Text form of a key, used as a lookup key and to identify the request to other daemons and endpoints.
std::string key_text(const ledger::key& key, std::string_view secret) {
    return key.prefix.signed_text(secret) + "." + key.suffix;
}

std::vector<caller::stage_usage> stage_usage_of(const std::vector<pipeline::stage_report>& stages) {
    std::vector<caller::stage_usage> usage;
    usage.reserve(stages.size());
    for (const pipeline::stage_report& stage : stages) {
        usage.push_back(caller::stage_usage{stage.name, stage.attempts, stage.elapsed});
    }
    return usage;
}

} // namespace

ledger_driver::ledger_driver(shared_state& shared, control_strand strand, platform_client& platform,
                             peer_transport& transport, prefix_handler on_prefix)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform)
    , transport_(transport)
    , on_prefix_(std::move(on_prefix))
    , owner_(owner_options_for(shared.settings), base::random_source(shared.next_seed()), now())
    , successor_(base::random_source(shared.next_seed()))
    , owner_timer_(strand, [this]() { notify_owner(ledger::timer_expired{}); })
    , successor_timer_(strand, [this]() { notify_successor(ledger::timer_expired{}); })
    , stopped_timer_(std::make_shared<asio::steady_timer>(strand, asio::steady_timer::time_point::max())) {}

void ledger_driver::start() {
    notify_owner(ledger::timer_expired{});
    notify_successor(ledger::timer_expired{});
}

template <class Event> void ledger_driver::notify_owner(const Event& event) {
    for (const ledger::owner_action& action : owner_.handle(event, now())) {
        if (const ledger::make_call* call = std::get_if<ledger::make_call>(&action)) {
            make_call(*call, [this](const ledger::call_answered& answered) { notify_owner(answered); });
        } else if (const ledger::start_run* started = std::get_if<ledger::start_run>(&action)) {
            carry_out(*started);
        } else if (const ledger::send_reply* reply = std::get_if<ledger::send_reply>(&action)) {
            carry_out(*reply);
        } else {
            carry_out(ledger::stopped{});
        }
    }
    publish_prefix();
    owner_timer_.set(owner_.next_wakeup());
}

template <class Event> void ledger_driver::notify_successor(const Event& event) {
    for (const ledger::successor_action& action : successor_.handle(event, now())) {
        if (const ledger::make_call* call = std::get_if<ledger::make_call>(&action)) {
            make_call(*call, [this](const ledger::call_answered& answered) { notify_successor(answered); });
        } else {
            carry_out(std::get<ledger::send_reply>(action));
        }
    }
    successor_timer_.set(successor_.next_wakeup());
}

template <class Notify> void ledger_driver::make_call(const ledger::make_call& action, Notify notify) {
    const std::shared_ptr<ledger_driver> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self, action, notify]() -> asio::awaitable<void> {
            object_api::answer answer =
                co_await self->platform_.call(self->strand_, action.request, platform_call_timeout);
            const ledger::call_answered answered{action.call, std::move(answer)};
            notify(answered);
        },
        asio::detached);
}

void ledger_driver::carry_out(const ledger::start_run& action) {
    const auto it = inputs_.find(input_id_of(action.request));
    if (it == inputs_.end() || it->second.run.request.body_hash != action.request.body_hash) {
        const base::problem no_waiter{base::problem_kind::deadline_exceeded, base::outcome::not_run,
                                      "no request is waiting for the run", std::nullopt};
        notify_owner(ledger::run_ended{action.run, no_waiter});
        return;
    }
    const std::shared_ptr<ledger_driver> self = shared_from_this();
    const ledger::run_id id = action.run;
    const ledger::keyed_request request = action.request;
    const keyed_run input = it->second.run;
    shared_.record(input.run_request.id, telemetry::timeline_event::key_recorded,
                   {{"class", std::string(base::to_name(request.key.prefix.recording))}});
    asio::co_spawn(
        strand_, [self, id, request, input]() { return self->run(id, request, input); }, asio::detached);
}

void ledger_driver::carry_out(const ledger::send_reply& action) {
    const auto it = waiters_.find(action.waiter);
    if (it != waiters_.end()) {
        it->second.reply = action.reply;
        it->second.ready->cancel();
    }
}

void ledger_driver::carry_out(const ledger::stopped&) {
    stopped_timer_->cancel();
}

asio::awaitable<void> ledger_driver::run(ledger::run_id id, ledger::keyed_request request, keyed_run input) {
    const std::shared_ptr<const serving_state> serving = shared_.serving.read();
    const auto it = serving->document->pipelines.find(input.run_request.pipeline);
    if (it == serving->document->pipelines.end()) {
        // A document without this pipeline was adopted after the request had arrived.
        const base::problem removed{base::problem_kind::unknown_pipeline, base::outcome::not_run,
                                    "the pipeline '" + input.run_request.pipeline.text() + "' was removed",
                                    std::nullopt};
        notify_owner(ledger::run_ended{id, removed});
        co_return;
    }
    run_input driver_input;
    driver_input.caller_request_id = input.run_request.id;
    driver_input.request.id = base::request_id(input.run_request.id.text() + "~" + shared_.unique_suffix());
    driver_input.request.idempotency_key = key_text(request.key, shared_.settings.cluster_secret);
    driver_input.request.input = input.run_request.input;
    driver_input.request.max_tokens = input.run_request.max_tokens;
    driver_input.request.seed = input.run_request.seed;
    driver_input.request.deadline = request.deadline;
    driver_input.pipeline_config = it->second;
    driver_input.serving = serving;
    const std::shared_ptr<run_driver> driver = std::make_shared<run_driver>(shared_, strand_, driver_input);
    run_result result = co_await driver->run(nullptr);
    if (const base::problem* problem = std::get_if<base::problem>(&result)) {
        notify_owner(ledger::run_ended{id, *problem});
        co_return;
    }
    const pipeline::complete& complete = std::get<pipeline::complete>(result);
    const caller::run_response parts{input.run_request.id, input.run_request.pipeline, complete.output,
                                     stage_usage_of(complete.stages), complete.tokens};
    const ledger::response response{status_ok, caller::response_body(input.run_request.format, parts)};
    notify_owner(ledger::run_ended{id, response});
}

ledger::waiter_id ledger_driver::add_waiter() {
    const ledger::waiter_id id = next_waiter_++;
    waiter entry;
    entry.ready = std::make_shared<asio::steady_timer>(strand_, asio::steady_timer::time_point::max());
    waiters_.emplace(id, std::move(entry));
    return id;
}

asio::awaitable<ledger::reply> ledger_driver::wait_for(ledger::waiter_id id) {
    if (!waiters_.at(id).reply) {
        const std::shared_ptr<asio::steady_timer> ready = waiters_.at(id).ready;
        boost::system::error_code ec;
        co_await ready->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    ledger::reply reply = *waiters_.at(id).reply;
    waiters_.erase(id);
    co_return reply;
}

ledger_driver::input_id ledger_driver::input_id_of(const ledger::keyed_request& request) const {
    return {request.account, key_text(request.key, shared_.settings.cluster_secret)};
}

asio::awaitable<ledger::reply> ledger_driver::reply_as_owner(keyed_run run) {
    const ledger::waiter_id id = add_waiter();
    run.request.waiter = id;
    const input_id key = input_id_of(run.request);
    inputs_.emplace(key, shared_input{run, 0}).first->second.waiter_count += 1;
    if (run.refusal) {
        notify_owner(ledger::refusal_requested{run.request, *run.refusal});
    } else {
        notify_owner(ledger::request_arrived{run.request});
    }
    ledger::reply reply = co_await wait_for(id);
    const auto it = inputs_.find(key);
    it->second.waiter_count -= 1;
    if (it->second.waiter_count == 0) {
        inputs_.erase(it);
    }
    co_return reply;
}

asio::awaitable<base::result<peer::frame>> ledger_driver::forward(keyed_run run, base::duration timeout) {
    const base::address owner = run.request.key.prefix.peer_address;
    peer::forward_request forwarded;
    forwarded.request = run.run_request.id;
    forwarded.account = run.request.account;
    forwarded.key = key_text(run.request.key, shared_.settings.cluster_secret);
    forwarded.target = run.target;
    forwarded.body = run.body;
    // A reply at the end of the timeout would come too late, and the record of a live owner would be sealed.
    forwarded.time_left_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(base::time_to_answer(timeout)).count());
    shared_.record(run.run_request.id, telemetry::timeline_event::request_forwarded, {{"to", owner.text()}});
    const peer::frame message = std::move(forwarded);
    co_return co_await transport_.exchange(owner, message, timeout);
}

asio::awaitable<ledger::reply> ledger_driver::reply_as_non_owner(keyed_run run) {
    const base::duration time_left = run.request.deadline - now();
    const bool can_seal = time_left >= connect_time_reserve + seal_time_reserve;
    // A prefix with this VM's address that this process does not own names a replaced incarnation.
    bool owner_replaced = run.request.key.prefix.peer_address == shared_.settings.peer_address;
    if (!owner_replaced && time_left > base::duration::zero()) {
        const base::duration timeout = can_seal ? time_left - seal_time_reserve : time_left;
        base::result<peer::frame> answer = co_await forward(run, timeout);
        if (answer && std::holds_alternative<peer::forward_reply>(*answer)) {
            co_return std::get<peer::forward_reply>(*answer).reply;
        }
        owner_replaced = answer && std::holds_alternative<peer::wrong_incarnation>(*answer);
    }
    if (!owner_replaced && !can_seal) {
        // Sealing without enough time to connect would in most cases seal the record of a live owner.
        co_return base::problem{base::problem_kind::owner_unreachable, base::outcome::unknown,
                                "the VM that the key names did not answer before the deadline", std::nullopt};
    }
    const ledger::waiter_id id = add_waiter();
    run.request.waiter = id;
    notify_successor(ledger::owner_unreachable{run.request});
    co_return co_await wait_for(id);
}

asio::awaitable<ledger::reply> ledger_driver::reply_to(keyed_run run) {
    if (owner_.owns(run.request.key.prefix)) {
        co_return co_await reply_as_owner(std::move(run));
    }
    co_return co_await reply_as_non_owner(std::move(run));
}

asio::awaitable<void> ledger_driver::stop() {
    notify_owner(ledger::stop_requested{});
    boost::system::error_code ec;
    co_await stopped_timer_->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    owner_timer_.cancel();
    successor_timer_.cancel();
}

void ledger_driver::publish_prefix() {
    const ledger::key_prefix prefix = owner_.current_prefix();
    if (published_prefix_ && *published_prefix_ == prefix) {
        return;
    }
    if (published_prefix_ && published_prefix_->incarnation != prefix.incarnation) {
        telemetry::log(telemetry::log_event::ledger_rotated, {{"ledger", prefix.incarnation.text()}});
    }
    const bool recording_lost = published_prefix_ &&
                                published_prefix_->recording == ledger::record_class::recorded &&
                                prefix.recording == ledger::record_class::unrecorded;
    if (recording_lost) {
        telemetry::log(telemetry::log_event::record_unavailable, {{"ledger", prefix.incarnation.text()}});
    }
    published_prefix_ = prefix;
    on_prefix_(prefix);
}

} // namespace rattanbay::daemon::internal
