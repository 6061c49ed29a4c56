#include "internal/piece_router.hpp"

#include "internal/clock.hpp"
#include "internal/guarded_loop.hpp"
#include "internal/scope_exit.hpp"

#include <rattanbay/membership.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace rattanbay::daemon::internal {

namespace {

/// Time that an exchange may continue after the latest start of its pieces.
constexpr std::chrono::milliseconds exchange_timeout_margin{100};
/// Interval at which the scheduling daemon is checked to be live.
constexpr std::chrono::milliseconds liveness_check_interval{100};
constexpr std::chrono::seconds release_timeout{1};
/// Time for which a daemon is skipped after it could not be reached.
constexpr std::chrono::seconds unreachable_backoff{1};
/// Interval at which a stage is considered again for which no scheduler is known yet.
constexpr std::chrono::milliseconds scheduler_wait_interval{50};
/// Number of daemons that may pass a stage on. The views of daemons differ by a change or two for moments; a
/// stage that was passed on twice is scheduled where it is.
constexpr std::uint32_t max_forwards = 2;
constexpr std::chrono::seconds forward_report_interval{1};

std::int64_t milliseconds_until(base::time_point end, base::time_point start) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(end - start).count();
}

} // namespace

piece_router::piece_router(shared_state& shared, pool_planner& planner, piece_pool& pool,
                           peer_transport& transport, control_strand strand)
    : shared_(shared)
    , planner_(planner)
    , pool_(pool)
    , transport_(transport)
    , strand_(strand) {}

std::vector<peer::member_record> piece_router::schedulers_of(const membership::pool_shard* shard) {
    std::vector<peer::member_record> out;
    if (shard == nullptr) {
        return out;
    }
    const base::time_point current_time = now();
    std::erase_if(unreachable_until_, [current_time](const auto& row) { return row.second <= current_time; });
    const auto add_if_reachable = [this, &out](const peer::member_record& next) {
        const bool ends_with_this = !out.empty() && out.back().id == shared_.id;
        if (!ends_with_this && (next.id == shared_.id || !unreachable_until_.contains(next.peer_address))) {
            out.push_back(next);
        }
    };
    add_if_reachable(shard->scheduler);
    std::ranges::for_each(shard->fallbacks, add_if_reachable);
    return out;
}

std::optional<peer::member_record> piece_router::scheduler_for(const stage_request& request) {
    const std::shared_ptr<const membership::pool_plan> plan = planner_.plan(request.service);
    const bool is_large =
        std::max(request.order.result_bytes, request.order.input_bytes) >= relay::large_transfer_bytes;
    const std::string key = request.order.request.text() + "/" + std::to_string(request.order.stage);
    const membership::pool_shard* const shard =
        membership::select_shard(*plan, key, is_large ? request.preferred_domain : base::failure_domain());
    return shard != nullptr ? std::optional<peer::member_record>(shard->scheduler) : std::nullopt;
}

void piece_router::mark_unreachable(const peer::member_record& scheduler) {
    unreachable_until_[scheduler.peer_address] = now() + unreachable_backoff;
}

std::shared_ptr<exchange_handle> piece_router::submit(stage_request request, stage_handler on_done,
                                                      std::uint32_t forwards) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    const std::shared_ptr<stage_submission> stage = std::make_shared<stage_submission>();
    stage->request = std::move(request);
    stage->on_done = std::move(on_done);
    stage->forwards = forwards;
    stage->ticket = std::make_shared<exchange_handle>();
    asio::co_spawn(
        strand_,
        [self, stage]() -> asio::awaitable<void> {
            // Runs on the strand, like everything that refers to the stage.
            stage->ticket->abort = [self, weak = std::weak_ptr<stage_submission>(stage)]() {
                const std::shared_ptr<stage_submission> cancelled = weak.lock();
                if (cancelled) {
                    self->finish(cancelled, tl::unexpected(relay::piece_failure::failed));
                }
            };
            co_await self->submit_or_fail(stage);
        },
        asio::detached);
    return stage->ticket;
}

void piece_router::cancel(std::shared_ptr<exchange_handle> ticket) {
    asio::post(strand_, [ticket = std::move(ticket)]() { ticket->cancel(); });
}

asio::awaitable<void> piece_router::submit_or_fail(std::shared_ptr<stage_submission> stage) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    try {
        co_await submit_with_failover(stage);
    } catch (const std::exception& error) {
        log_aborted_call("submit_stage", stage->request.order.request.text(), error.what());
        // Without this the request would wait for the stage until its deadline.
        finish(stage, tl::unexpected(relay::piece_failure::failed));
    }
}

asio::awaitable<void> piece_router::submit_with_failover(std::shared_ptr<stage_submission> stage) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    asio::steady_timer timer(strand_);
    while (!stage->ended && !stage->ticket->cancelled) {
        const std::optional<peer::member_record> scheduler = scheduler_for(stage->request);
        if (!scheduler && !planner_.is_settled() && now() < stage->request.latest_start) {
            timer.expires_after(scheduler_wait_interval);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (!scheduler || scheduler->id == shared_.id) {
            submit_to_own(stage);
            co_return;
        }
        if (stage->holders.contains(scheduler->id)) {
            co_return;
        }
        if (co_await submit_to_peer(*scheduler, stage)) {
            co_return;
        }
        shared_.metrics.record_scheduler_failover(stage->request.service);
        if (stage->is_in_progress()) {
            co_return;
        }
    }
}

void piece_router::submit_to_own(const std::shared_ptr<stage_submission>& stage) {
    if (stage->own) {
        return;
    }
    const std::shared_ptr<piece_router> self = shared_from_this();
    // The result may come before the identifier is known.
    stage->own = relay::stage_id{};
    const stage_handler on_done = [self, stage](const stage_result& result) {
        stage->own = std::nullopt;
        self->record_stage(stage->request.service, "own", result);
        if (!result && result.error() == relay::piece_failure::scheduler_stopping) {
            asio::co_spawn(
                self->strand_, [self, stage]() { return self->submit_or_fail(stage); }, asio::detached);
            return;
        }
        self->finish(stage, result);
    };
    try {
        const relay::stage_id id = pool_.submit(stage->request, on_done);
        if (stage->own) {
            stage->own = id;
        }
    } catch (const std::exception&) {
        // The stage is not in progress here, so that its failure can end it.
        stage->own = std::nullopt;
        throw;
    }
}

void piece_router::finish(const std::shared_ptr<stage_submission>& stage, const stage_result& result) {
    if (stage->ended) {
        if (result) {
            release(stage->request.service, *result);
        }
        return;
    }
    const bool is_cancelled = stage->ticket->cancelled;
    if (!result && !is_cancelled && stage->is_in_progress()) {
        return;
    }
    stage->ended = true;
    for (const std::shared_ptr<exchange_handle>& exchange : std::exchange(stage->exchanges, {})) {
        exchange->cancel();
    }
    if (stage->own) {
        pool_.cancel(*std::exchange(stage->own, std::nullopt));
    }
    if (!is_cancelled) {
        stage->ticket->abort = nullptr;
        stage->on_done(result);
    }
}

bool piece_router::try_spend_budget(const stage_request& request) {
    const std::shared_ptr<const relay_serving_state> serving = shared_.relay->serving.read();
    const auto budget = serving->resend_budgets.find(request.service);
    if (budget == serving->resend_budgets.end()) {
        return false;
    }
    for (std::size_t piece = 0; piece < request.order.pieces; ++piece) {
        if (!budget->second->try_spend(now(), shared_.relay->live_daemons.load())) {
            return false;
        }
    }
    return true;
}

void piece_router::record_stage(const base::service_name& service, std::string_view scheduler,
                                const stage_result& result) {
    shared_.metrics.record_stage(service, scheduler, result ? "made" : base::to_name(result.error()));
}

asio::awaitable<void> piece_router::watch_scheduler(peer::member_record scheduler,
                                                    std::shared_ptr<exchange_handle> handle,
                                                    std::shared_ptr<stage_submission> stage) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    asio::steady_timer timer(strand_);
    bool replaced = false;
    while (!handle->finished) {
        timer.expires_after(liveness_check_interval);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const std::shared_ptr<const member_view> view = shared_.members.read();
        const auto member = std::ranges::find(view->members, scheduler.id, &peer::member_record::id);
        const bool is_gone = member == view->members.end() || member->status == peer::member_status::gone;
        if (is_gone && !handle->finished) {
            handle->cancel();
            co_return;
        }
        const bool is_suspect = !is_gone && member->status == peer::member_status::suspect;
        if (is_suspect && !replaced && !handle->finished) {
            replaced = true;
            replace_scheduler(scheduler, stage);
        }
    }
}

void piece_router::replace_scheduler(const peer::member_record& scheduler,
                                     const std::shared_ptr<stage_submission>& stage) {
    const bool allowed = try_spend_budget(stage->request);
    telemetry::log(telemetry::log_event::piece_scheduler_suspected,
                   {{"request", stage->request.order.request.text()},
                    {"service", stage->request.service.text()},
                    {"scheduler", scheduler.vm.text()},
                    {"pieces", std::to_string(stage->request.order.pieces)},
                    {"replacement", allowed ? "begun" : "no_budget"}});
    if (!allowed) {
        return;
    }
    shared_.metrics.record_scheduler_failover(stage->request.service);
    const std::shared_ptr<piece_router> self = shared_from_this();
    asio::co_spawn(
        strand_, [self, stage]() { return self->submit_or_fail(stage); }, asio::detached);
}

asio::awaitable<bool> piece_router::submit_to_peer(peer::member_record scheduler,
                                                   std::shared_ptr<stage_submission> stage) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    const stage_request& request = stage->request;
    const base::time_point time = now();
    peer::make_pieces pieces_request{request.service,
                                     request.order,
                                     request.preferred_domain,
                                     milliseconds_until(request.target_start, time),
                                     milliseconds_until(request.latest_start, time),
                                     stage->forwards};
    peer::frame message = std::move(pieces_request);
    const std::shared_ptr<exchange_handle> handle = std::make_shared<exchange_handle>();
    stage->exchanges.push_back(handle);
    stage->holders.insert(scheduler.id);
    asio::co_spawn(
        strand_,
        [self, scheduler, handle, stage]() { return self->watch_scheduler(scheduler, handle, stage); },
        asio::detached);
    const base::duration timeout = request.latest_start - time + exchange_timeout_margin;
    base::result<peer::frame> response =
        base::fail(base::error_code::unavailable, "the exchange was aborted");
    {
        const scope_exit done([handle, stage, id = scheduler.id]() {
            handle->finished = true;
            std::erase(stage->exchanges, handle);
            stage->holders.erase(id);
        });
        response = co_await transport_.exchange_with_ack(scheduler.peer_address, std::move(message), timeout,
                                                         handle);
    }
    const peer::pieces_made* const made = response ? std::get_if<peer::pieces_made>(&*response) : nullptr;
    if (made != nullptr) {
        const bool is_final = handle_answer(stage, *made);
        planner_.record(scheduler, request.service,
                        is_final ? membership::scheduler_contact::accepted
                                 : membership::scheduler_contact::handed_back);
        co_return is_final;
    }
    if (stage->ended || stage->ticket->cancelled) {
        co_return true;
    }
    if (now() >= request.latest_start) {
        finish(stage, tl::unexpected(relay::piece_failure::deadline_exceeded));
        co_return true;
    }
    const bool is_refused = !response && response.error().code == base::error_code::connection_refused;
    const bool is_broken = !response && response.error().code == base::error_code::connection_broken;
    // Connections to a live daemon may break; it is asked once more before its silence counts.
    if (!is_broken || !stage->broken.insert(scheduler.id).second) {
        planner_.record(scheduler, request.service,
                        is_refused ? membership::scheduler_contact::refused
                                   : membership::scheduler_contact::silent);
    }
    telemetry::log(telemetry::log_event::piece_scheduler_unreachable,
                   {{"request", request.order.request.text()},
                    {"service", request.service.text()},
                    {"scheduler", scheduler.vm.text()},
                    {"took_ms", std::to_string(base::to_milliseconds(now() - time))},
                    {"detail", response ? "the response has an unexpected type" : response.error().message}});
    co_return false;
}

bool piece_router::handle_answer(const std::shared_ptr<stage_submission>& stage,
                                 const peer::pieces_made& made) {
    stage_result result = tl::unexpected(relay::piece_failure::failed);
    std::vector<std::string> handles;
    for (const relay::piece_result& piece : made.results) {
        if (!piece.handle && piece.failure == relay::piece_failure::scheduler_stopping) {
            return false;
        }
        if (!piece.handle) {
            result = tl::unexpected(piece.failure);
            break;
        }
        handles.push_back(*piece.handle);
    }
    if (handles.size() == stage->request.order.pieces) {
        result = std::move(handles);
    }
    if (!stage->ended) {
        record_stage(stage->request.service, "peer", result);
    }
    finish(stage, result);
    return true;
}

void piece_router::release(base::service_name service, std::vector<std::string> handles) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    asio::post(strand_, [self, service = std::move(service), handles = std::move(handles)]() {
        self->release_by_shard(service, handles);
    });
}

void piece_router::release_by_shard(const base::service_name& service,
                                    const std::vector<std::string>& handles) {
    const std::shared_ptr<const membership::pool_plan> plan = planner_.plan(service);
    std::map<std::size_t, std::vector<std::string>> handles_by_shard;
    for (const std::string& handle : handles) {
        const std::optional<base::address> holder = shared_.relay->protocol->result_holder(handle);
        const auto it = holder ? plan->shard_by_address.find(*holder) : plan->shard_by_address.end();
        // A holder that takes no more work belongs to no shard; any daemon can tell it.
        handles_by_shard[it != plan->shard_by_address.end() ? it->second : 0].push_back(handle);
    }
    const std::shared_ptr<piece_router> self = shared_from_this();
    for (auto& row : handles_by_shard) {
        const membership::pool_shard* const shard =
            row.first < plan->shards.size() ? &plan->shards[row.first] : nullptr;
        asio::co_spawn(
            strand_,
            [self, message = peer::release_pieces{service, std::move(row.second)},
             schedulers = schedulers_of(shard)]() {
                return self->release_with_failover(message, schedulers);
            },
            asio::detached);
    }
}

asio::awaitable<void> piece_router::release_with_failover(peer::release_pieces message,
                                                          std::vector<peer::member_record> schedulers) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    for (const peer::member_record& scheduler : schedulers) {
        if (scheduler.id == shared_.id) {
            break;
        }
        peer::frame frame = message;
        const base::result<peer::frame> response =
            co_await transport_.exchange_pooled(scheduler.peer_address, std::move(frame), release_timeout);
        if (response) {
            co_return;
        }
        mark_unreachable(scheduler);
    }
    pool_.release(message.service, message.handles);
}

asio::awaitable<peer::frame> piece_router::handle_make_pieces(peer::make_pieces message,
                                                              std::shared_ptr<requester_link> requester) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    if (draining_ || !planner_.is_settled()) {
        peer::pieces_made stopping;
        stopping.results.push_back(
            relay::piece_result{std::nullopt, relay::piece_failure::scheduler_stopping});
        co_return peer::frame(std::move(stopping));
    }
    const base::time_point time = now();
    const base::service_name service = message.service;
    stage_request request;
    request.service = message.service;
    request.order = std::move(message.order);
    request.preferred_domain = message.near;
    request.target_start = time + base::from_milliseconds(message.due_ms);
    request.latest_start = time + base::from_milliseconds(message.latest_ms);
    const std::shared_ptr<asio::steady_timer> finished =
        std::make_shared<asio::steady_timer>(strand_, asio::steady_timer::time_point::max());
    const std::shared_ptr<std::optional<stage_result>> result =
        std::make_shared<std::optional<stage_result>>();
    const stage_handler on_made = [finished, result](const stage_result& made) {
        *result = made;
        finished->cancel();
    };
    std::function<void()> cancel;
    if (pool_.is_scheduler(service) || message.forwards >= max_forwards) {
        const relay::stage_id stage = pool_.submit(std::move(request), on_made);
        cancel = [self, stage]() { self->pool_.cancel(stage); };
    } else {
        report_forwarded(service);
        const std::shared_ptr<exchange_handle> ticket =
            submit(std::move(request), on_made, message.forwards + 1);
        cancel = [ticket]() { ticket->cancel(); };
    }
    requester->on_lost = [self, service, cancel, finished, result]() {
        if (*result && **result) {
            self->release_by_shard(service, ***result);
        } else if (!*result) {
            cancel();
            *result = tl::unexpected(relay::piece_failure::failed);
            finished->cancel();
        }
    };
    if (!*result) {
        boost::system::error_code ec;
        co_await finished->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    peer::pieces_made out;
    if (!**result) {
        out.results.push_back(relay::piece_result{std::nullopt, (*result)->error()});
    } else {
        for (const std::string& handle : ***result) {
            out.results.push_back(relay::piece_result{handle, relay::piece_failure::failed});
        }
    }
    co_return peer::frame(std::move(out));
}

void piece_router::report_forwarded(const base::service_name& service) {
    forward_report& report = forwarded_[service];
    ++report.stages;
    const base::time_point time = now();
    if (report.reported_at && time - *report.reported_at < forward_report_interval) {
        return;
    }
    telemetry::log(telemetry::log_event::piece_stage_forwarded,
                   {{"service", service.text()}, {"stages", std::to_string(report.stages)}});
    report = forward_report{0, time};
}

void piece_router::begin_drain() {
    draining_ = true;
    pool_.hand_back_waiting();
}

bool piece_router::has_work() const {
    return pool_.has_work() || transport_.has_unsent_replies();
}

void piece_router::handle_release(const peer::release_pieces& message) {
    pool_.release(message.service, message.handles);
}

} // namespace rattanbay::daemon::internal
