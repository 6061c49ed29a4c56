#include "internal/piece_pool.hpp"

#include "internal/clock.hpp"

#include <rattanbay/telemetry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

/// Maximum number of calls that a piece is part of before it fails.
constexpr unsigned max_piece_attempts = 4;
/// Interval at which pieces are reconsidered that wait for space, for an endpoint in their preferred failure
/// domain or for the end of an ejection.
constexpr std::chrono::milliseconds wakeup_interval{20};
/// Delay during which releases are collected into one call per holder.
constexpr std::chrono::milliseconds release_flush_delay{5};
constexpr std::chrono::seconds release_timeout{1};
/// Allowance in a call's timeout for the network and delays at the endpoint.
constexpr std::chrono::milliseconds call_timeout_margin{500};

/// Timeout of a call that may have to wait for one full call at the endpoint.
base::duration call_timeout(const config::piece_limits& pieces) {
    const base::duration full_call =
        pieces.call_overhead + pieces.time_per_piece * static_cast<std::int64_t>(pieces.max_batch_size);
    return full_call * 2 + call_timeout_margin;
}

} // namespace

piece_pool::piece_pool(relay_state& relay, telemetry::metrics& metrics, control_strand strand)
    : relay_(relay)
    , metrics_(metrics)
    , strand_(strand) {}

relay::stage_id piece_pool::submit(stage_request request, stage_handler on_done) {
    const base::service_name service = request.service;
    const relay::stage_id id = ++last_stage_id_;
    if (!configure(service)) {
        on_done(tl::unexpected(relay::piece_failure::failed));
        return id;
    }
    const std::shared_ptr<const relay_serving_state> serving = relay_.serving.read();
    const auto budget = serving->resend_budgets.find(service);
    const std::shared_ptr<const std::vector<std::string>> inputs =
        std::make_shared<const std::vector<std::string>>(std::move(request.order.inputs));
    request.order.inputs.clear();
    const base::time_point arrival = now();
    std::vector<relay::waiting_piece> waiting;
    waiting.reserve(request.order.pieces);
    const relay::piece_id first_piece = last_piece_id_ + 1;
    for (std::size_t piece = 0; piece < request.order.pieces; ++piece) {
        relay::waiting_piece next;
        next.id = ++last_piece_id_;
        next.stage = id;
        next.order = relay::piece_order{
            request.order.request, request.order.stage, piece, {}, request.order.key, inputs};
        next.preferred_domain = request.preferred_domain;
        next.result_bytes = request.order.result_bytes;
        next.transfer_bytes = std::max(request.order.result_bytes, request.order.input_bytes);
        next.urgency = request.order.urgency;
        next.arrival = arrival;
        next.target_start = request.target_start;
        next.latest_start = request.latest_start;
        pieces_.emplace_hint(pieces_.end(), next.id, piece_job{id, piece, 0});
        if (budget != serving->resend_budgets.end()) {
            budget->second->count_request(arrival);
        }
        waiting.push_back(std::move(next));
    }
    stage_job job{std::move(request), std::move(on_done), {}, waiting.size(), first_piece};
    job.handles.resize(waiting.size());
    stages_.emplace(id, std::move(job));
    if (waiting.empty() || !queues_[service].scheduler.add_stage(std::move(waiting), arrival)) {
        fail_stage(id, relay::piece_failure::deadline_exceeded);
    }
    dispatch(service);
    return id;
}

void piece_pool::cancel(relay::stage_id id) {
    const auto it = stages_.find(id);
    if (it != stages_.end()) {
        remove_stage(it);
    }
}

void piece_pool::remove_stage(std::map<relay::stage_id, stage_job>::iterator stage) {
    const base::service_name service = stage->second.request.service;
    queues_[service].scheduler.cancel_stage(stage->first);
    const relay::piece_id first_piece = stage->second.first_piece;
    const relay::piece_id end_piece = first_piece + stage->second.request.order.pieces;
    pieces_.erase(pieces_.lower_bound(first_piece), pieces_.lower_bound(end_piece));
    const std::vector<std::string> handles = std::move(stage->second.handles);
    stages_.erase(stage);
    release(service, handles);
}

void piece_pool::release(const base::service_name& service, const std::vector<std::string>& handles) {
    for (const std::string& handle : handles) {
        const std::optional<base::address> holder =
            handle.empty() ? std::nullopt : relay_.protocol->result_holder(handle);
        if (holder) {
            releases_[*holder].push_back(handle);
            queues_[service].scheduler.release_result(handle);
        }
    }
    if (!releases_.empty() && !flush_scheduled_) {
        flush_scheduled_ = true;
        const std::shared_ptr<piece_pool> self = shared_from_this();
        asio::co_spawn(
            strand_, [self]() { return self->flush_releases(); }, asio::detached);
    }
    dispatch(service);
}

bool piece_pool::configure(const base::service_name& service) {
    const std::shared_ptr<const relay_serving_state> serving = relay_.serving.read();
    const config::relay_service* const settings = serving->find(service);
    if (settings == nullptr || !settings->pieces) {
        return false;
    }
    service_queue& queue = queues_[service];
    const std::pair<std::uint64_t, std::uint64_t> wanted(serving->revision, relay_.balancer.generation());
    if (queue.configured_for != wanted) {
        queue.scheduler.configure(*settings->pieces, relay_.balancer.available_endpoints(service));
        queue.call_timeout = call_timeout(*settings->pieces);
        queue.configured_for = wanted;
    }
    return true;
}

void piece_pool::dispatch(const base::service_name& service) {
    configure(service);
    service_queue& queue = queues_[service];
    for (const relay::stage_id expired : queue.scheduler.expire(now())) {
        fail_stage(expired, relay::piece_failure::deadline_exceeded);
    }
    while (std::optional<relay::piece_batch> batch = queue.scheduler.next_batch(now())) {
        const std::shared_ptr<piece_pool> self = shared_from_this();
        asio::co_spawn(
            strand_,
            [self, service, next = std::move(*batch)]() mutable {
                return self->send_batch(service, std::move(next));
            },
            asio::detached);
    }
    metrics_.set_waiting_pieces(service, queue.scheduler.waiting());
    if (queue.scheduler.needs_wakeup()) {
        schedule_wakeup(service);
    }
}

void piece_pool::schedule_wakeup(const base::service_name& service) {
    service_queue& queue = queues_[service];
    if (queue.wakeup_scheduled) {
        return;
    }
    queue.wakeup_scheduled = true;
    const std::weak_ptr<piece_pool> weak = weak_from_this();
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(strand_, wakeup_interval);
    timer->async_wait([weak, service, timer](const boost::system::error_code&) {
        const std::shared_ptr<piece_pool> self = weak.lock();
        if (self) {
            self->queues_[service].wakeup_scheduled = false;
            self->dispatch(service);
        }
    });
}

void piece_pool::pause_limited(const base::service_name& service, const base::endpoint_id& endpoint) {
    const std::optional<base::duration> pause = relay_.balancer.time_per_request(endpoint);
    if (pause) {
        queues_[service].scheduler.pause(endpoint, now() + *pause);
    }
}

asio::awaitable<void> piece_pool::send_batch(base::service_name service, relay::piece_batch batch) {
    const base::time_point start = now();
    pause_limited(service, batch.endpoint.id);
    std::vector<relay::piece_order> orders;
    orders.reserve(batch.pieces.size());
    for (const relay::waiting_piece& piece : batch.pieces) {
        orders.push_back(piece.order);
        orders.back().time_left = piece.latest_start - start;
    }
    http::exchange_timeouts limits;
    limits.response_header = queues_[service].call_timeout;
    http::request message = relay_.protocol->write_piece_request(orders, batch.endpoint.id);
    const http::send_condition is_available = [this, endpoint = batch.endpoint.id]() {
        return relay_.balancer.is_available(endpoint, now());
    };
    const base::result<http::response> response = co_await http::exchange(
        strand_, relay_.pool, batch.endpoint.address, std::move(message), limits, is_available);
    std::string detail;
    std::vector<relay::held_result> held;
    const relay::attempt_result result = read_response(service, batch, response, detail, held);
    queues_[service].scheduler.end_call(batch.endpoint.id, result, held, now());
    log_call(service, batch, result, start, detail);
    if (result != relay::attempt_result::answered) {
        retry_batch(service, std::move(batch), result);
    }
    dispatch(service);
}

void piece_pool::log_call(const base::service_name& service, const relay::piece_batch& batch,
                          relay::attempt_result result, base::time_point start, const std::string& detail) {
    const relay::waiting_piece& first = batch.pieces.front();
    const bool succeeded = result == relay::attempt_result::answered;
    metrics_.record_piece_call(service, base::to_name(result));
    telemetry::log(succeeded ? telemetry::log_event::piece_call_ended
                             : telemetry::log_event::piece_call_failed,
                   {{"request", first.order.request.text()},
                    {"stage", std::to_string(first.order.stage)},
                    {"service", service.text()},
                    {"endpoint", batch.endpoint.id.text()},
                    {"pieces", std::to_string(batch.pieces.size())},
                    {"still_waiting", std::to_string(queues_[service].scheduler.waiting())},
                    {"end", std::string(base::to_name(result))},
                    {"waited_ms", std::to_string(base::to_milliseconds(start - first.arrival))},
                    {"took_ms", std::to_string(base::to_milliseconds(now() - start))},
                    {"detail", detail}});
}

relay::attempt_result piece_pool::read_response(const base::service_name& service,
                                                const relay::piece_batch& batch,
                                                const base::result<http::response>& response,
                                                std::string& detail, std::vector<relay::held_result>& held) {
    if (!response) {
        detail = response.error().message;
        const bool sent = response.error().code != base::error_code::connection_refused &&
                          response.error().code != base::error_code::unavailable;
        return sent ? relay::attempt_result::broken : relay::attempt_result::not_sent;
    }
    const relay::endpoint_response_header header =
        relay_.protocol->read_response(http::response_header{response->status, response->fields});
    detail = "status " + std::to_string(response->status);
    relay_.record_endpoint_wishes(batch.endpoint.id, header);
    if (header.retry_after) {
        queues_[service].scheduler.pause(batch.endpoint.id, now() + *header.retry_after);
    }
    if (header.not_run) {
        return relay::attempt_result::declined;
    }
    constexpr int status_ok = 200;
    if (response->status != status_ok) {
        return relay::attempt_result::broken;
    }
    const base::result<std::vector<relay::piece_result>> results =
        relay_.protocol->read_piece_results(response->body, batch.pieces.size());
    if (!results) {
        detail = results.error().message;
        return relay::attempt_result::broken;
    }
    handle_results(service, batch, *results, held);
    return relay::attempt_result::answered;
}

void piece_pool::handle_results(const base::service_name& service, const relay::piece_batch& batch,
                                const std::vector<relay::piece_result>& results,
                                std::vector<relay::held_result>& held) {
    std::vector<std::string> unneeded;
    for (std::size_t n = 0; n < batch.pieces.size(); ++n) {
        const relay::waiting_piece& piece = batch.pieces[n];
        const relay::piece_result& outcome = results[n];
        const auto it = pieces_.find(piece.id);
        if (outcome.handle) {
            held.push_back({*outcome.handle, piece.result_bytes});
        }
        if (it == pieces_.end()) {
            unneeded.push_back(outcome.handle.value_or(std::string()));
            continue;
        }
        const bool is_retryable = outcome.failure == relay::piece_failure::out_of_space ||
                                  outcome.failure == relay::piece_failure::failed;
        if (outcome.handle) {
            finish_piece(piece.id, *outcome.handle);
        } else if (is_retryable && ++it->second.attempts < max_piece_attempts) {
            if (outcome.failure == relay::piece_failure::out_of_space) {
                queues_[service].scheduler.mark_full(batch.endpoint.id, now());
            }
            queues_[service].scheduler.requeue(piece, relay::attempt_result::answered_with_failure);
        } else {
            fail_piece(piece.id, outcome.failure);
        }
    }
    if (!unneeded.empty()) {
        metrics_.add_unused_results(service, unneeded.size());
        release(service, unneeded);
    }
}

bool piece_pool::try_spend_budget(const base::service_name& service) {
    const std::shared_ptr<const relay_serving_state> serving = relay_.serving.read();
    const auto budget = serving->resend_budgets.find(service);
    return budget != serving->resend_budgets.end() &&
           budget->second->try_spend(now(), relay_.live_daemons.load());
}

void piece_pool::retry_batch(const base::service_name& service, relay::piece_batch batch,
                             relay::attempt_result result) {
    for (relay::waiting_piece& piece : batch.pieces) {
        const auto it = pieces_.find(piece.id);
        if (it == pieces_.end()) {
            continue;
        }
        // A call that was declined or not sent did no work, so retrying its pieces needs no budget.
        const bool may_have_run = result == relay::attempt_result::broken;
        const bool allowed =
            !may_have_run || (++it->second.attempts < max_piece_attempts && try_spend_budget(service));
        if (allowed) {
            queues_[service].scheduler.requeue(std::move(piece), result);
        } else {
            fail_piece(piece.id, relay::piece_failure::failed);
        }
    }
}

void piece_pool::finish_piece(relay::piece_id id, const std::string& handle) {
    const auto it = pieces_.find(id);
    const auto stage = stages_.find(it->second.stage);
    stage->second.handles[it->second.piece] = handle;
    --stage->second.pending_pieces;
    pieces_.erase(it);
    if (stage->second.pending_pieces == 0) {
        const stage_handler on_done = std::move(stage->second.on_done);
        const stage_result result = std::move(stage->second.handles);
        stages_.erase(stage);
        on_done(result);
    }
}

void piece_pool::fail_piece(relay::piece_id id, relay::piece_failure failure) {
    const auto it = pieces_.find(id);
    if (it != pieces_.end()) {
        fail_stage(it->second.stage, failure);
    }
}

void piece_pool::fail_stage(relay::stage_id id, relay::piece_failure failure) {
    const auto stage = stages_.find(id);
    if (stage == stages_.end()) {
        return;
    }
    const stage_request& request = stage->second.request;
    telemetry::log(telemetry::log_event::piece_stage_failed,
                   {{"request", request.order.request.text()},
                    {"stage", std::to_string(request.order.stage)},
                    {"service", request.service.text()},
                    {"reason", std::string(base::to_name(failure))},
                    {"pending_pieces", std::to_string(stage->second.pending_pieces)},
                    {"pieces", std::to_string(request.order.pieces)},
                    {"still_waiting", std::to_string(queues_[request.service].scheduler.waiting())},
                    {"left_ms", std::to_string(base::to_milliseconds(request.latest_start - now()))}});
    const stage_handler on_done = std::move(stage->second.on_done);
    remove_stage(stage);
    on_done(tl::unexpected(failure));
}

asio::awaitable<void> piece_pool::flush_releases() {
    const std::shared_ptr<piece_pool> self = shared_from_this();
    asio::steady_timer timer(strand_, release_flush_delay);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    flush_scheduled_ = false;
    std::map<base::address, std::vector<std::string>> pending = std::move(releases_);
    releases_.clear();
    for (auto& row : pending) {
        asio::co_spawn(
            strand_,
            [self, holder = row.first, handles = std::move(row.second)]() mutable {
                return self->send_release(holder, std::move(handles));
            },
            asio::detached);
    }
}

asio::awaitable<void> piece_pool::send_release(base::address holder, std::vector<std::string> handles) {
    http::exchange_timeouts limits;
    limits.response_header = release_timeout;
    http::request message = relay_.protocol->write_release_request(handles);
    const base::result<http::response> response =
        co_await http::exchange(strand_, relay_.pool, holder, std::move(message), limits);
    if (!response) {
        // The holder frees the results itself when their lifetime ends.
        telemetry::log(telemetry::log_event::piece_call_failed, {{"endpoint_address", holder.text()},
                                                                 {"released", std::to_string(handles.size())},
                                                                 {"detail", response.error().message}});
    }
}

} // namespace rattanbay::daemon::internal
