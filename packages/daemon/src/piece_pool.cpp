#include "internal/piece_pool.hpp"

#include "internal/clock.hpp"
#include "internal/guarded_loop.hpp"
#include "internal/oversized_response.hpp"
#include "internal/scope_exit.hpp"

#include <rattanbay/telemetry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
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
/// Time for which a daemon calls all endpoints of a pool after it was given a stage that it could give to no
/// scheduler.
constexpr std::chrono::seconds without_shard_time{1};

/// Time to read data that arrived while the thread was held: the timer of the silence and the data are ready
/// together then.
constexpr std::chrono::milliseconds unread_data_time{5};
/// Silence beyond the usual time of a call after which a call is closed whose pieces were sent elsewhere. A
/// sound endpoint may be silent for about a second and go on.
constexpr std::chrono::seconds max_silence{2};

/// Time after which a call counts as silent. It may have to wait for one full call at the endpoint.
base::duration call_timeout(const config::piece_limits& pieces) {
    const base::duration full_call =
        pieces.call_overhead + pieces.time_per_piece * static_cast<std::int64_t>(pieces.max_batch_size);
    return full_call * 2 + call_timeout_margin;
}

} // namespace

piece_pool::piece_pool(shared_state& shared, pool_planner& planner, control_strand strand)
    : relay_(*shared.relay)
    , metrics_(shared.metrics)
    , planner_(planner)
    , strand_(strand)
    , retry_seed_(shared.next_seed())
    , release_connections_(relay_.pool.descriptors()) {}

relay::stage_id piece_pool::submit(stage_request request, stage_handler on_done) {
    const base::service_name service = request.service;
    const relay::stage_id id = ++last_stage_id_;
    if (!is_scheduler(service)) {
        schedule_without_shard(service);
    }
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
        pieces_.emplace_hint(pieces_.end(), next.id, piece_job{id, piece, 0, 0, true});
        if (budget != serving->resend_budgets.end()) {
            budget->second->count_request(arrival);
        }
        waiting.push_back(std::move(next));
    }
    stage_job job{std::move(request), std::move(on_done), {}, waiting.size(), first_piece, false, false};
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

void piece_pool::hand_back_waiting() {
    handed_back_ = true;
    std::vector<relay::stage_id> waiting;
    for (const auto& row : stages_) {
        if (!row.second.started) {
            waiting.push_back(row.first);
        }
    }
    // The failure of a stage frees space and sends further calls, which must not contain the other stages.
    for (const relay::stage_id id : waiting) {
        queues_[stages_.at(id).request.service].scheduler.cancel_stage(id);
    }
    for (const relay::stage_id id : waiting) {
        fail_stage(id, relay::piece_failure::scheduler_stopping);
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

bool piece_pool::is_scheduler(const base::service_name& service) {
    return planner_.own_shard(service) != nullptr;
}

void piece_pool::schedule_without_shard(const base::service_name& service) {
    service_queue& queue = queues_[service];
    const base::time_point time = now();
    if (time >= queue.without_shard_until) {
        telemetry::log(telemetry::log_event::pool_scheduled_without_shard, {{"service", service.text()}});
        queue.configured_for = 0;
    }
    queue.without_shard_until = time + without_shard_time;
}

void piece_pool::hand_back_pool(const base::service_name& service) {
    std::vector<relay::stage_id> waiting;
    for (const auto& row : stages_) {
        if (!row.second.started && row.second.request.service == service) {
            waiting.push_back(row.first);
        }
    }
    for (const relay::stage_id id : waiting) {
        queues_[service].scheduler.cancel_stage(id);
    }
    if (!waiting.empty()) {
        telemetry::log(telemetry::log_event::pool_stages_handed_back,
                       {{"service", service.text()}, {"stages", std::to_string(waiting.size())}});
    }
    // The end of a stage may dispatch others, so that it must not run within the change of the configuration.
    const std::shared_ptr<piece_pool> self = shared_from_this();
    asio::post(strand_, [self, waiting = std::move(waiting)]() {
        for (const relay::stage_id id : waiting) {
            self->fail_stage(id, relay::piece_failure::scheduler_stopping);
        }
    });
}

std::optional<std::vector<relay::pool_endpoint>>
piece_pool::endpoints_to_call(const base::service_name& service) {
    const membership::pool_shard* const shard = planner_.own_shard(service);
    if (shard != nullptr) {
        return shard->endpoints;
    }
    if (now() < queues_[service].without_shard_until) {
        return relay_.balancer.available_endpoints(service);
    }
    return std::nullopt;
}

bool piece_pool::configure(const base::service_name& service) {
    const std::shared_ptr<const relay_serving_state> serving = relay_.serving.read();
    const config::relay_service* const settings = serving->find(service);
    if (settings == nullptr || !settings->pieces) {
        return false;
    }
    service_queue& queue = queues_[service];
    const std::uint64_t wanted = planner_.generation();
    // A draining daemon is in no plan. It ends what it has at the endpoints of its last shard.
    const bool keeps_shard = handed_back_ && queue.configured_for != 0;
    if (queue.configured_for != wanted && !keeps_shard) {
        const bool was_configured = queue.configured_for != 0;
        queue.configured_for = wanted;
        queue.call_timeout = call_timeout(*settings->pieces);
        queue.scheduler.set_retry_seed(retry_seed_);
        const std::optional<std::vector<relay::pool_endpoint>> endpoints = endpoints_to_call(service);
        if (endpoints) {
            queue.scheduler.configure(*settings->pieces, *endpoints);
            for (const base::endpoint_id& acquired : planner_.take_acquired_endpoints(service)) {
                queue.scheduler.expect_earlier_call(acquired, now());
            }
        } else if (was_configured) {
            // Stages that have begun end at the endpoints of the last shard.
            hand_back_pool(service);
        }
    }
    return true;
}

void piece_pool::dispatch(const base::service_name& service) {
    configure(service);
    service_queue& queue = queues_[service];
    for (const relay::stage_id expired : queue.scheduler.expire(now())) {
        handle_expired_stage(expired);
    }
    while (std::optional<relay::piece_batch> batch = queue.scheduler.next_batch(now())) {
        relay::piece_batch started = start_batch(service, std::move(*batch));
        if (started.pieces.empty()) {
            continue;
        }
        const std::shared_ptr<piece_pool> self = shared_from_this();
        asio::co_spawn(
            strand_,
            [self, service, next = std::move(started)]() mutable {
                return self->send_batch(service, std::move(next));
            },
            asio::detached);
    }
    metrics_.set_waiting_pieces(service, queue.scheduler.waiting());
    if (queue.scheduler.needs_wakeup()) {
        schedule_wakeup(service);
    }
}

void piece_pool::handle_expired_stage(relay::stage_id id) {
    const auto stage = stages_.find(id);
    if (stage == stages_.end()) {
        return;
    }
    const relay::piece_id first_piece = stage->second.first_piece;
    const auto begin = pieces_.lower_bound(first_piece);
    const auto end = pieces_.lower_bound(first_piece + stage->second.request.order.pieces);
    const bool is_in_time = stage->second.repeated && std::none_of(begin, end, [](const auto& row) {
                                return row.second.waiting && row.second.calls == 0;
                            });
    if (!is_in_time) {
        fail_stage(id, relay::piece_failure::deadline_exceeded);
        return;
    }
    for (auto it = begin; it != end; ++it) {
        it->second.waiting = false;
    }
}

relay::piece_batch piece_pool::start_batch(const base::service_name& service, relay::piece_batch batch) {
    relay::piece_batch needed{std::move(batch.endpoint), {}};
    relay::stage_id last_stage = 0;
    for (relay::waiting_piece& piece : batch.pieces) {
        const auto it = pieces_.find(piece.id);
        if (it == pieces_.end()) {
            // It was queued again and has got its result from its first call since.
            continue;
        }
        it->second.waiting = false;
        ++it->second.calls;
        if (piece.stage != last_stage) {
            stages_.at(piece.stage).started = true;
            last_stage = piece.stage;
        }
        needed.pieces.push_back(std::move(piece));
    }
    if (needed.pieces.empty()) {
        queues_[service].scheduler.end_call(needed.endpoint.id, relay::attempt_result::answered, {}, now());
    }
    return needed;
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
    const std::optional<base::duration> limit = relay_.balancer.time_per_request(endpoint);
    const std::optional<base::duration> cold = relay_.balancer.time_per_cold_request(endpoint, now());
    const std::optional<base::duration> pause = std::max(limit, cold);
    if (pause) {
        queues_[service].scheduler.pause(endpoint, now() + *pause);
    }
}

void piece_pool::watch_silence(const base::service_name& service, const std::shared_ptr<piece_call>& call,
                               base::duration delay) {
    call->silence_timer.expires_after(delay);
    call->silence_timer.async_wait(
        [weak = weak_from_this(), service, call](const boost::system::error_code& ec) {
            const std::shared_ptr<piece_pool> self = weak.lock();
            if (!ec && self && !call->ended) {
                self->handle_silence(service, call);
            }
        });
}

void piece_pool::handle_silence(const base::service_name& service, const std::shared_ptr<piece_call>& call) {
    service_queue& queue = queues_[service];
    if (!call->silent) {
        call->silent = true;
        queue.scheduler.set_silent(call->batch.endpoint.id, true);
        watch_silence(service, call, unread_data_time);
        return;
    }
    if (now() - call->start > queue.call_timeout + max_silence && !is_only_call(*call)) {
        close_call(*call);
        watch_silence(service, call, unread_data_time);
        return;
    }
    const std::size_t replaced = replace_pieces(service, *call);
    telemetry::log(telemetry::log_event::relay_attempt_silent,
                   {{"service", service.text()},
                    {"endpoint", call->batch.endpoint.id.text()},
                    {"pieces", std::to_string(call->batch.pieces.size())},
                    {"replaced_pieces", std::to_string(replaced)},
                    {"took_ms", std::to_string(base::to_milliseconds(now() - call->start))}});
    const base::duration to_close = call->start + queue.call_timeout + max_silence + unread_data_time - now();
    const bool closes_first = to_close > base::duration::zero() && to_close < queue.call_timeout;
    watch_silence(service, call, closes_first ? to_close : queue.call_timeout);
    if (replaced > 0) {
        dispatch(service);
    }
}

void piece_pool::handle_endpoint_end(piece_call& call, endpoint_end end) {
    // The endpoint may have answered before it ended.
    if (!call.ended && call.connection != nullptr && !call.connection->is_readable()) {
        call.end = end;
        call.connection->close();
    }
}

void piece_pool::close_call(piece_call& call) {
    // Without a connection, one is being opened, which ends by itself.
    if (call.connection != nullptr) {
        call.connection->close();
    }
}

bool piece_pool::is_only_call(const piece_call& call) const {
    return std::ranges::any_of(call.batch.pieces, [this](const relay::waiting_piece& piece) {
        const auto it = pieces_.find(piece.id);
        return it != pieces_.end() && it->second.calls == 1 && !it->second.waiting;
    });
}

std::size_t piece_pool::replace_pieces(const base::service_name& service, const piece_call& call) {
    std::size_t replaced = 0;
    for (const relay::waiting_piece& piece : call.batch.pieces) {
        const auto it = pieces_.find(piece.id);
        const bool needed = it != pieces_.end() && it->second.calls == 1 && !it->second.waiting &&
                            it->second.attempts + 1 < max_piece_attempts && now() < piece.latest_start &&
                            queues_[service].scheduler.has_other_endpoint(call.batch.endpoint.id, now());
        if (needed && try_spend_budget(service)) {
            ++it->second.attempts;
            stages_.at(it->second.stage).repeated = true;
            requeue(service, piece, relay::attempt_result::timed_out);
            ++replaced;
        }
    }
    return replaced;
}

asio::awaitable<base::result<http::response>> piece_pool::exchange_batch(base::service_name service,
                                                                         std::shared_ptr<piece_call> call) {
    const base::time_point start = call->start;
    const relay::piece_batch& batch = call->batch;
    pause_limited(service, batch.endpoint.id);
    base::time_point latest_start = start;
    std::vector<relay::piece_order> orders;
    orders.reserve(batch.pieces.size());
    for (const relay::waiting_piece& piece : batch.pieces) {
        orders.push_back(piece.order);
        orders.back().time_left = piece.latest_start - start;
        latest_start = std::max(latest_start, piece.latest_start);
    }
    const base::duration usual_time = queues_[service].call_timeout;
    http::exchange_limits limits;
    limits.response_header = latest_start - start + usual_time + max_silence;
    limits.body_read = limits.response_header;
    limits.memory = &relay_.responses;
    http::request message = relay_.protocol->write_piece_request(orders, batch.endpoint.id);
    // A call that was silent may still run, so it is not sent again on another connection.
    const http::send_condition is_available = [this, call]() {
        return !call->silent && relay_.balancer.is_available(call->batch.endpoint.id, now());
    };
    const http::connection_observer on_connection = [call](http::client_connection* connection) {
        call->connection = connection;
    };
    watch_silence(service, call, usual_time);
    const relay::chosen_endpoint endpoint{batch.endpoint.id, batch.endpoint.address,
                                          batch.endpoint.failure_domain, batch.endpoint.started_ms};
    const open_calls::registration registration(
        relay_.calls, endpoint, [strand = strand_, call](endpoint_end end) {
            asio::post(strand, [call, end]() { handle_endpoint_end(*call, end); });
        });
    call->sent = true;
    co_return co_await http::exchange(strand_, relay_.pool, batch.endpoint.address, std::move(message),
                                      limits, is_available, on_connection);
}

bool piece_pool::drop_unwritable_pieces(const relay::piece_batch& batch) {
    bool found = false;
    for (const relay::waiting_piece& piece : batch.pieces) {
        try {
            relay_.protocol->write_piece_request({piece.order}, batch.endpoint.id);
        } catch (const std::exception& error) {
            log_aborted_call("write_piece", piece.order.request.text(), error.what());
            found = true;
            if (pieces_.contains(piece.id)) {
                fail_piece(piece.id, relay::piece_failure::failed);
            }
        }
    }
    return found;
}

asio::awaitable<void> piece_pool::send_batch(base::service_name service, relay::piece_batch pieces) {
    const std::shared_ptr<piece_pool> self = shared_from_this();
    const base::time_point start = now();
    const std::shared_ptr<piece_call> call = std::make_shared<piece_call>(strand_, std::move(pieces), start);
    const relay::piece_batch& batch = call->batch;
    relay::attempt_result result = relay::attempt_result::broken;
    std::string detail;
    std::vector<relay::held_result> held;
    // An exception ends this call only: without its end, the endpoint would count it for good.
    try {
        const base::result<http::response> response = co_await exchange_batch(service, call);
        result = read_response(service, batch, response, detail, held);
    } catch (const std::exception& error) {
        detail = error.what();
        log_aborted_call("piece_call", batch.endpoint.id.text(), detail);
        if (!call->sent && drop_unwritable_pieces(batch)) {
            result = relay::attempt_result::not_sent;
        }
    }
    call->ended = true;
    call->silence_timer.cancel();
    if (call->silent) {
        queues_[service].scheduler.set_silent(batch.endpoint.id, false);
    }
    if (call->end) {
        detail = "the endpoint has ended: " + std::string(base::to_name(*call->end));
    }
    // A call that could not be written says nothing of its endpoint.
    const bool is_unwritten = !call->sent;
    queues_[service].scheduler.end_call(batch.endpoint.id,
                                        is_unwritten ? relay::attempt_result::answered : result, held, now());
    log_call(service, batch, result, start, detail);
    if (result != relay::attempt_result::answered) {
        retry_batch(service, batch, result);
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
        record_oversized_response(metrics_, "endpoint", batch.endpoint.id.text(),
                                  batch.pieces.front().order.request.text(), response.error());
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
    constexpr int status_ok = 200;
    if (header.not_run || response->status != status_ok) {
        distrust_connections(batch, "");
        return header.not_run ? relay::attempt_result::declined : relay::attempt_result::broken;
    }
    const base::result<std::vector<relay::piece_result>> results =
        relay_.protocol->read_piece_results(response->body, batch.pieces.size());
    if (!results) {
        detail = results.error().message;
        distrust_connections(batch, detail);
        return relay::attempt_result::broken;
    }
    const relay::answer_origin origin = queues_[service].scheduler.origin_of(*results);
    if (origin == relay::answer_origin::earlier_call) {
        detail = "the answer has results of an earlier call";
        distrust_connections(batch, detail);
        return relay::attempt_result::broken;
    }
    if (origin == relay::answer_origin::unknown) {
        distrust_connections(batch, "");
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
        if (outcome.handle) {
            held.push_back({*outcome.handle, piece.result_bytes});
        }
        if (!pieces_.contains(piece.id)) {
            unneeded.push_back(outcome.handle.value_or(std::string()));
            continue;
        }
        piece_job* const job = end_piece_call(piece.id);
        const bool is_retryable = outcome.failure == relay::piece_failure::out_of_space ||
                                  outcome.failure == relay::piece_failure::failed;
        if (outcome.handle) {
            finish_piece(piece.id, *outcome.handle);
        } else if (job == nullptr) {
            continue;
        } else if (is_retryable && ++job->attempts < max_piece_attempts) {
            if (outcome.failure == relay::piece_failure::out_of_space) {
                queues_[service].scheduler.mark_full(batch.endpoint.id, now());
            }
            requeue(service, piece, relay::attempt_result::answered_with_failure);
        } else {
            fail_piece(piece.id, outcome.failure);
        }
    }
    if (!unneeded.empty()) {
        metrics_.add_unused_results(service, unneeded.size());
        release(service, unneeded);
    }
}

void piece_pool::distrust_connections(const relay::piece_batch& batch, std::string_view detail) {
    relay_.pool.close_idle(batch.endpoint.address);
    if (!detail.empty()) {
        telemetry::log(telemetry::log_event::crossed_answer,
                       {{"request", batch.pieces.front().order.request.text()},
                        {"endpoint", batch.endpoint.id.text()},
                        {"detail", std::string(detail)}});
    }
}

bool piece_pool::try_spend_budget(const base::service_name& service) {
    const std::shared_ptr<const relay_serving_state> serving = relay_.serving.read();
    const auto budget = serving->resend_budgets.find(service);
    return budget != serving->resend_budgets.end() &&
           budget->second->try_spend(now(), relay_.live_daemons.load());
}

piece_pool::piece_job* piece_pool::end_piece_call(relay::piece_id id) {
    const auto it = pieces_.find(id);
    if (it == pieces_.end()) {
        return nullptr;
    }
    it->second.calls -= it->second.calls > 0 ? 1 : 0;
    return it->second.calls == 0 && !it->second.waiting ? &it->second : nullptr;
}

void piece_pool::requeue(const base::service_name& service, const relay::waiting_piece& piece,
                         relay::attempt_result result) {
    pieces_.at(piece.id).waiting = true;
    queues_[service].scheduler.requeue(piece, result);
}

void piece_pool::retry_batch(const base::service_name& service, const relay::piece_batch& batch,
                             relay::attempt_result result) {
    for (const relay::waiting_piece& piece : batch.pieces) {
        piece_job* const job = end_piece_call(piece.id);
        if (job == nullptr) {
            continue;
        }
        // A call that was declined or not sent did no work, so retrying its pieces needs no budget.
        const bool may_have_run = result == relay::attempt_result::broken;
        const bool allowed =
            !may_have_run || (++job->attempts < max_piece_attempts && try_spend_budget(service));
        if (allowed) {
            requeue(service, piece, result);
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
        if (stage->second.repeated) {
            queues_[stage->second.request.service].scheduler.cancel_stage(stage->first);
        }
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
    open_releases_ += pending.size();
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
    http::exchange_limits limits;
    limits.response_header = release_timeout;
    limits.memory = &relay_.responses;
    const std::shared_ptr<piece_pool> self = shared_from_this();
    const scope_exit done([this]() { --open_releases_; });
    base::result<http::response> response = base::fail(base::error_code::unavailable, "the call was aborted");
    try {
        http::request message = relay_.protocol->write_release_request(handles);
        response = co_await http::exchange(strand_, release_connections_, holder, std::move(message), limits);
    } catch (const std::exception& error) {
        log_aborted_call("release", holder.text(), error.what());
    }
    if (!response) {
        // The holder frees the results itself when their lifetime ends.
        record_oversized_response(metrics_, "endpoint", holder.text(), "", response.error());
        telemetry::log(telemetry::log_event::piece_call_failed, {{"endpoint_address", holder.text()},
                                                                 {"released", std::to_string(handles.size())},
                                                                 {"detail", response.error().message}});
    }
}

} // namespace rattanbay::daemon::internal
