#include "internal/ledger_keeper.hpp"

#include "internal/clock.hpp"

#include <rattanbay/caller/run_response.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

constexpr int status_ok = 200;
/// Kept of a request's deadline for sealing the owner's record after a forward failed.
constexpr std::chrono::milliseconds seal_reserve{500};
/// Time that a connection to the owner may take; with less left the owner is not sealed.
constexpr std::chrono::milliseconds connect_reserve{300};
/// Longest wait for a platform call of the ledger: as long as a key waits for its commit.
constexpr std::chrono::milliseconds platform_limit{250};

ledger::owner_options options_of(const config::settings& settings) {
    ledger::owner_options options;
    options.peer_address = settings.peer_address;
    options.cluster_secret = settings.cluster_secret;
    return options;
}

/// The text form of a key that is only used as a name between the system and an endpoint.
std::string key_text(const ledger::key& key, std::string_view secret) {
    return key.prefix.text(secret) + "." + key.caller_part;
}

std::vector<caller::stage_usage> usage_of(const std::vector<pipeline::stage_report>& stages) {
    std::vector<caller::stage_usage> out;
    out.reserve(stages.size());
    for (const pipeline::stage_report& stage : stages) {
        out.push_back(caller::stage_usage{stage.name, stage.attempts, stage.took});
    }
    return out;
}

} // namespace

ledger_keeper::ledger_keeper(shared_state& shared, control_strand strand, platform_client& platform,
                             peer_transport& transport, prefix_handler on_prefix)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform)
    , transport_(transport)
    , on_prefix_(std::move(on_prefix))
    , owner_(options_of(shared.settings), base::random_source(shared.next_seed()), now())
    , successor_(base::random_source(shared.next_seed()))
    , owner_timer_(strand, [this]() { tell_owner(ledger::woken{}); })
    , successor_timer_(strand, [this]() { tell_successor(ledger::woken{}); })
    , stopped_(std::make_shared<asio::steady_timer>(strand, asio::steady_timer::time_point::max())) {}

void ledger_keeper::start() {
    tell_owner(ledger::woken{});
    tell_successor(ledger::woken{});
}

template <class Event> void ledger_keeper::tell_owner(const Event& happened) {
    for (const ledger::owner_action& action : owner_.handle(happened, now())) {
        if (const ledger::make_call* call = std::get_if<ledger::make_call>(&action)) {
            make_call(*call, [this](const ledger::call_answered& answered) { tell_owner(answered); });
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

template <class Event> void ledger_keeper::tell_successor(const Event& happened) {
    for (const ledger::successor_action& action : successor_.handle(happened, now())) {
        if (const ledger::make_call* call = std::get_if<ledger::make_call>(&action)) {
            make_call(*call, [this](const ledger::call_answered& answered) { tell_successor(answered); });
        } else {
            carry_out(std::get<ledger::send_reply>(action));
        }
    }
    successor_timer_.set(successor_.next_wakeup());
}

template <class Tell> void ledger_keeper::make_call(const ledger::make_call& action, Tell tell) {
    const std::shared_ptr<ledger_keeper> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self, action, tell]() -> asio::awaitable<void> {
            object_api::answer answer =
                co_await self->platform_.call(self->strand_, action.request, platform_limit);
            const ledger::call_answered answered{action.call, std::move(answer)};
            tell(answered);
        },
        asio::detached);
}

void ledger_keeper::carry_out(const ledger::start_run& action) {
    const auto it = inputs_.find(id_of(action.request));
    if (it == inputs_.end() || it->second.run.request.body_hash != action.request.body_hash) {
        const base::problem abandoned{base::problem_kind::deadline_exceeded, base::outcome::not_run,
                                      "no request waits for the run any more", std::nullopt};
        tell_owner(ledger::run_ended{action.run, abandoned});
        return;
    }
    const std::shared_ptr<ledger_keeper> self = shared_from_this();
    const ledger::run_id id = action.run;
    const ledger::keyed_request request = action.request;
    const keyed_run input = it->second.run;
    shared_.record(input.parsed.id, telemetry::timeline_event::key_recorded,
                   {{"class", std::string(base::to_name(request.key.prefix.recording))}});
    asio::co_spawn(
        strand_, [self, id, request, input]() { return self->run(id, request, input); }, asio::detached);
}

void ledger_keeper::carry_out(const ledger::send_reply& action) {
    const auto it = waiters_.find(action.waiter);
    if (it != waiters_.end()) {
        it->second.reply = action.reply;
        it->second.ready->cancel();
    }
}

void ledger_keeper::carry_out(const ledger::stopped&) {
    stopped_->cancel();
}

asio::awaitable<void> ledger_keeper::run(ledger::run_id id, ledger::keyed_request request, keyed_run input) {
    const std::shared_ptr<const serving_state> serving = shared_.serving.read();
    const auto it = serving->document->pipelines.find(input.parsed.pipeline);
    if (it == serving->document->pipelines.end()) {
        // The document changed between the arrival and the confirmed record.
        const base::problem gone{base::problem_kind::unknown_pipeline, base::outcome::not_run,
                                 "the pipeline '" + input.parsed.pipeline.text() + "' was removed",
                                 std::nullopt};
        tell_owner(ledger::run_ended{id, gone});
        co_return;
    }
    run_input work;
    work.visible_id = input.parsed.id;
    work.work.id = base::request_id(input.parsed.id.text() + "~" + shared_.unique_suffix());
    work.work.idempotency_key = key_text(request.key, shared_.settings.cluster_secret);
    work.work.input = input.parsed.input;
    work.work.max_tokens = input.parsed.max_tokens;
    work.work.seed = input.parsed.seed;
    work.work.deadline = request.deadline;
    work.plan = it->second;
    work.serving = serving;
    const std::shared_ptr<run_driver> driver = std::make_shared<run_driver>(shared_, strand_, work);
    run_result result = co_await driver->run(nullptr);
    if (const base::problem* problem = std::get_if<base::problem>(&result)) {
        tell_owner(ledger::run_ended{id, *problem});
        co_return;
    }
    const pipeline::complete& complete = std::get<pipeline::complete>(result);
    const caller::run_response parts{input.parsed.id, input.parsed.pipeline, complete.output,
                                     usage_of(complete.stages), complete.tokens};
    const ledger::answer answer{status_ok, caller::response_body(input.parsed.format, parts)};
    tell_owner(ledger::run_ended{id, answer});
}

ledger::waiter_id ledger_keeper::add_waiter() {
    const ledger::waiter_id id = next_waiter_++;
    waiter added;
    added.ready = std::make_shared<asio::steady_timer>(strand_, asio::steady_timer::time_point::max());
    waiters_.emplace(id, std::move(added));
    return id;
}

asio::awaitable<ledger::reply> ledger_keeper::wait_for(ledger::waiter_id id) {
    if (!waiters_.at(id).reply) {
        const std::shared_ptr<asio::steady_timer> ready = waiters_.at(id).ready;
        boost::system::error_code ec;
        co_await ready->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    ledger::reply out = *waiters_.at(id).reply;
    waiters_.erase(id);
    co_return out;
}

ledger_keeper::input_id ledger_keeper::id_of(const ledger::keyed_request& request) const {
    return {request.account, key_text(request.key, shared_.settings.cluster_secret)};
}

asio::awaitable<ledger::reply> ledger_keeper::reply_as_owner(keyed_run run) {
    const ledger::waiter_id id = add_waiter();
    run.request.waiter = id;
    const input_id key = id_of(run.request);
    inputs_.emplace(key, shared_input{run, 0}).first->second.waiting += 1;
    if (run.refusal) {
        tell_owner(ledger::refusal_asked{run.request, *run.refusal});
    } else {
        tell_owner(ledger::arrived{run.request});
    }
    ledger::reply out = co_await wait_for(id);
    const auto it = inputs_.find(key);
    it->second.waiting -= 1;
    if (it->second.waiting == 0) {
        inputs_.erase(it);
    }
    co_return out;
}

asio::awaitable<base::result<peer::frame>> ledger_keeper::forward(keyed_run run, base::duration limit) {
    const base::address owner = run.request.key.prefix.peer_address;
    peer::forward_request forwarded;
    forwarded.request = run.parsed.id;
    forwarded.account = run.request.account;
    forwarded.key = key_text(run.request.key, shared_.settings.cluster_secret);
    forwarded.target = run.target;
    forwarded.body = run.body;
    forwarded.time_left_ms =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    shared_.record(run.parsed.id, telemetry::timeline_event::request_forwarded, {{"to", owner.text()}});
    const peer::frame message = std::move(forwarded);
    co_return co_await transport_.exchange(owner, message, limit);
}

asio::awaitable<ledger::reply> ledger_keeper::reply_as_other(keyed_run run) {
    const base::duration left = run.request.deadline - now();
    const bool can_seal = left >= connect_reserve + seal_reserve;
    // A prefix with this VM's address that is not its own names an incarnation that was replaced.
    bool owner_gone = run.request.key.prefix.peer_address == shared_.settings.peer_address;
    if (!owner_gone && left > base::duration::zero()) {
        const base::duration limit = can_seal ? left - seal_reserve : left;
        base::result<peer::frame> answer = co_await forward(run, limit);
        if (answer && std::holds_alternative<peer::forward_reply>(*answer)) {
            co_return std::get<peer::forward_reply>(*answer).reply;
        }
        owner_gone = answer && std::holds_alternative<peer::wrong_incarnation>(*answer);
    }
    if (!owner_gone && !can_seal) {
        // A seal without time for a connection would mostly hit a live owner.
        co_return base::problem{base::problem_kind::owner_unreachable, base::outcome::unknown,
                                "the VM that the key names did not answer before the deadline", std::nullopt};
    }
    const ledger::waiter_id id = add_waiter();
    run.request.waiter = id;
    tell_successor(ledger::owner_lost{run.request});
    co_return co_await wait_for(id);
}

asio::awaitable<ledger::reply> ledger_keeper::reply_to(keyed_run run) {
    if (owner_.owns(run.request.key.prefix)) {
        co_return co_await reply_as_owner(std::move(run));
    }
    co_return co_await reply_as_other(std::move(run));
}

asio::awaitable<void> ledger_keeper::stop() {
    tell_owner(ledger::stop_asked{});
    boost::system::error_code ec;
    co_await stopped_->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    owner_timer_.cancel();
    successor_timer_.cancel();
}

void ledger_keeper::publish_prefix() {
    const ledger::key_prefix prefix = owner_.current_prefix();
    if (published_ && *published_ == prefix) {
        return;
    }
    if (published_ && published_->incarnation != prefix.incarnation) {
        telemetry::log(telemetry::log_event::ledger_rotated, {{"ledger", prefix.incarnation.text()}});
    }
    const bool lost_record = published_ && published_->recording == ledger::record_class::recorded &&
                             prefix.recording == ledger::record_class::unrecorded;
    if (lost_record) {
        telemetry::log(telemetry::log_event::record_unavailable, {{"ledger", prefix.incarnation.text()}});
    }
    published_ = prefix;
    on_prefix_(prefix);
}

} // namespace rattanbay::daemon::internal
