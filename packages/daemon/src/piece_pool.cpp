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

/// Calls that a piece may be part of before it is given up.
constexpr unsigned most_tries = 4;
/// Period in which pieces that wait for room, for a near endpoint or for an endpoint that was
/// ejected are looked at again.
constexpr std::chrono::milliseconds wakeup_period{20};
/// Time in which results that are given up are collected into one call for each holder.
constexpr std::chrono::milliseconds release_period{5};
constexpr std::chrono::seconds release_limit{1};
/// Margin of a call for the network and the endpoint's own delays.
constexpr std::chrono::milliseconds call_margin{500};

/// Time within which a call ends, if a full call is ahead of it.
base::duration call_limit(const config::piece_limits& pieces) {
    const base::duration whole =
        pieces.call_time + pieces.piece_time * static_cast<std::int64_t>(pieces.batch);
    return whole * 2 + call_margin;
}

} // namespace

piece_pool::piece_pool(relay_state& relay, control_strand strand)
    : relay_(relay)
    , strand_(strand) {}

relay::stage_ticket piece_pool::make(stage_request request, stage_handler done) {
    const base::service_name service = request.service;
    const relay::stage_ticket ticket = ++stage_tickets_;
    if (!configure(service)) {
        done(tl::unexpected(relay::piece_failure::failed));
        return ticket;
    }
    const std::shared_ptr<const relay_serving> serving = relay_.serving.read();
    const auto budget = serving->budgets.find(service);
    stage_job job{request, std::move(done), {}, request.order.pieces};
    job.handles.resize(request.order.pieces);
    stages_.emplace(ticket, std::move(job));
    const base::time_point time = now();
    std::vector<relay::waiting_piece> waiting;
    for (std::size_t piece = 0; piece < request.order.pieces; ++piece) {
        relay::waiting_piece next;
        next.ticket = ++piece_tickets_;
        next.stage = ticket;
        next.order = relay::piece_order{request.order.call, request.order.stage, piece, {},
                                        request.order.key,  request.order.inputs};
        next.near = request.near;
        next.result_bytes = request.order.result_bytes;
        next.transfer_bytes = std::max(request.order.result_bytes, request.order.input_bytes);
        next.urgency = request.order.urgency;
        next.arrival = time;
        next.due = request.due;
        next.latest = request.latest;
        pieces_.emplace(next.ticket, piece_job{ticket, piece, 0});
        if (budget != serving->budgets.end()) {
            budget->second->count_request(time);
        }
        waiting.push_back(std::move(next));
    }
    if (waiting.empty() || !lines_[service].scheduler.add(std::move(waiting), time)) {
        fail_stage(ticket, relay::piece_failure::late);
    }
    pump(service);
    return ticket;
}

void piece_pool::cancel(relay::stage_ticket ticket) {
    const auto it = stages_.find(ticket);
    if (it != stages_.end()) {
        drop(it);
    }
}

void piece_pool::drop(std::map<relay::stage_ticket, stage_job>::iterator stage) {
    const base::service_name service = stage->second.request.service;
    lines_[service].scheduler.cancel(stage->first);
    std::erase_if(pieces_, [stage](const auto& row) { return row.second.stage == stage->first; });
    const std::vector<std::string> made = std::move(stage->second.handles);
    stages_.erase(stage);
    release(service, made);
}

void piece_pool::release(const base::service_name& service, const std::vector<std::string>& handles) {
    for (const std::string& handle : handles) {
        const std::optional<base::address> holder =
            handle.empty() ? std::nullopt : relay_.protocol->holder(handle);
        if (holder) {
            releases_[*holder].push_back(handle);
            lines_[service].scheduler.released(handle);
        }
    }
    if (!releases_.empty() && !releasing_) {
        releasing_ = true;
        const std::shared_ptr<piece_pool> self = shared_from_this();
        asio::co_spawn(
            strand_, [self]() { return self->flush_releases(); }, asio::detached);
    }
    pump(service);
}

bool piece_pool::configure(const base::service_name& service) {
    const std::shared_ptr<const relay_serving> serving = relay_.serving.read();
    const config::relay_service* const settings = serving->find(service);
    if (settings == nullptr || !settings->pieces) {
        return false;
    }
    line& here = lines_[service];
    const std::pair<std::uint64_t, std::uint64_t> wanted(serving->revision, relay_.balancer.generation());
    if (here.configured != wanted) {
        here.scheduler.configure(*settings->pieces, relay_.balancer.usable_endpoints(service));
        here.call_limit = call_limit(*settings->pieces);
        here.configured = wanted;
    }
    return true;
}

void piece_pool::pump(const base::service_name& service) {
    configure(service);
    line& here = lines_[service];
    for (const relay::stage_ticket late : here.scheduler.expire(now())) {
        fail_stage(late, relay::piece_failure::late);
    }
    while (std::optional<relay::piece_batch> batch = here.scheduler.next(now())) {
        const std::shared_ptr<piece_pool> self = shared_from_this();
        asio::co_spawn(
            strand_, [self, service, next = std::move(*batch)]() { return self->call(service, next); },
            asio::detached);
    }
    if (here.scheduler.needs_wakeup()) {
        wake_later(service);
    }
}

void piece_pool::wake_later(const base::service_name& service) {
    line& here = lines_[service];
    if (here.wakeup_set) {
        return;
    }
    here.wakeup_set = true;
    const std::weak_ptr<piece_pool> weak = weak_from_this();
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(strand_, wakeup_period);
    timer->async_wait([weak, service, timer](const boost::system::error_code&) {
        const std::shared_ptr<piece_pool> self = weak.lock();
        if (self) {
            self->lines_[service].wakeup_set = false;
            self->pump(service);
        }
    });
}

asio::awaitable<void> piece_pool::call(base::service_name service, relay::piece_batch batch) {
    const base::time_point start = now();
    std::vector<relay::piece_order> orders;
    for (const relay::waiting_piece& piece : batch.pieces) {
        orders.push_back(piece.order);
        orders.back().time_left = piece.latest - start;
    }
    http::exchange_timeouts limits;
    limits.response_header = lines_[service].call_limit;
    http::request message = relay_.protocol->write_pieces(orders, batch.endpoint.id);
    const base::result<http::response> answer =
        co_await http::exchange(strand_, relay_.pool, batch.endpoint.address, std::move(message), limits);
    std::string detail;
    std::vector<relay::held_result> held;
    const relay::attempt_end end = read_answer(service, batch, answer, detail, held);
    lines_[service].scheduler.ended(batch.endpoint.id, end, held, now());
    log_call(service, batch, end, start, detail);
    if (end != relay::attempt_end::answered) {
        try_again(service, std::move(batch), end);
    }
    pump(service);
}

void piece_pool::log_call(const base::service_name& service, const relay::piece_batch& batch,
                          relay::attempt_end end, base::time_point start, const std::string& detail) {
    const relay::waiting_piece& first = batch.pieces.front();
    const bool answered = end == relay::attempt_end::answered;
    telemetry::log(answered ? telemetry::log_event::piece_call_ended
                            : telemetry::log_event::piece_call_failed,
                   {{"request", first.order.call.text()},
                    {"stage", std::to_string(first.order.stage)},
                    {"service", service.text()},
                    {"endpoint", batch.endpoint.id.text()},
                    {"pieces", std::to_string(batch.pieces.size())},
                    {"still_waiting", std::to_string(lines_[service].scheduler.waiting())},
                    {"end", std::string(base::to_name(end))},
                    {"waited_ms", std::to_string(base::to_milliseconds(start - first.arrival))},
                    {"took_ms", std::to_string(base::to_milliseconds(now() - start))},
                    {"detail", detail}});
}

relay::attempt_end piece_pool::read_answer(const base::service_name& service, const relay::piece_batch& batch,
                                           const base::result<http::response>& answer, std::string& detail,
                                           std::vector<relay::held_result>& held) {
    if (!answer) {
        detail = answer.error().message;
        return answer.error().code == base::error_code::connection_refused ? relay::attempt_end::not_sent
                                                                           : relay::attempt_end::broken;
    }
    const relay::answer_head head =
        relay_.protocol->read_answer(http::response_header{answer->status, answer->fields});
    detail = "status " + std::to_string(answer->status);
    if (head.not_run) {
        return relay::attempt_end::declined;
    }
    constexpr int status_ok = 200;
    if (answer->status != status_ok) {
        return relay::attempt_end::broken;
    }
    const base::result<std::vector<relay::piece_result>> results =
        relay_.protocol->read_pieces(answer->body, batch.pieces.size());
    if (!results) {
        detail = results.error().message;
        return relay::attempt_end::broken;
    }
    take_results(service, batch, *results, held);
    return relay::attempt_end::answered;
}

void piece_pool::take_results(const base::service_name& service, const relay::piece_batch& batch,
                              const std::vector<relay::piece_result>& results,
                              std::vector<relay::held_result>& held) {
    std::vector<std::string> unwanted;
    for (std::size_t n = 0; n < batch.pieces.size(); ++n) {
        const relay::waiting_piece& piece = batch.pieces[n];
        const relay::piece_result& result = results[n];
        const auto it = pieces_.find(piece.ticket);
        if (result.handle) {
            held.push_back({*result.handle, piece.result_bytes});
        }
        if (it == pieces_.end()) {
            unwanted.push_back(result.handle.value_or(std::string()));
            continue;
        }
        const bool may_help =
            result.failure == relay::piece_failure::no_room || result.failure == relay::piece_failure::failed;
        if (result.handle) {
            finish_piece(piece.ticket, *result.handle);
        } else if (may_help && ++it->second.tries < most_tries) {
            if (result.failure == relay::piece_failure::no_room) {
                lines_[service].scheduler.no_room(batch.endpoint.id, now());
            }
            lines_[service].scheduler.put_back(piece);
        } else {
            fail_piece(piece.ticket, result.failure);
        }
    }
    if (!unwanted.empty()) {
        release(service, unwanted);
    }
}

bool piece_pool::may_repeat(const base::service_name& service) {
    const std::shared_ptr<const relay_serving> serving = relay_.serving.read();
    const auto budget = serving->budgets.find(service);
    return budget != serving->budgets.end() && budget->second->try_spend(now(), relay_.daemons.load());
}

void piece_pool::try_again(const base::service_name& service, relay::piece_batch batch,
                           relay::attempt_end end) {
    for (relay::waiting_piece& piece : batch.pieces) {
        const auto it = pieces_.find(piece.ticket);
        if (it == pieces_.end()) {
            continue;
        }
        // A call that was declined or not sent did no work, so that sending its pieces again repeats none.
        const bool repeats = end == relay::attempt_end::broken;
        const bool allowed = !repeats || (++it->second.tries < most_tries && may_repeat(service));
        if (allowed) {
            lines_[service].scheduler.put_back(std::move(piece));
        } else {
            fail_piece(piece.ticket, relay::piece_failure::failed);
        }
    }
}

void piece_pool::finish_piece(relay::piece_ticket ticket, const std::string& handle) {
    const auto it = pieces_.find(ticket);
    const auto stage = stages_.find(it->second.stage);
    stage->second.handles[it->second.piece] = handle;
    --stage->second.missing;
    pieces_.erase(it);
    if (stage->second.missing == 0) {
        const stage_handler done = std::move(stage->second.done);
        const std::vector<std::string> handles = std::move(stage->second.handles);
        stages_.erase(stage);
        done(handles);
    }
}

void piece_pool::fail_piece(relay::piece_ticket ticket, relay::piece_failure failure) {
    const auto it = pieces_.find(ticket);
    if (it != pieces_.end()) {
        fail_stage(it->second.stage, failure);
    }
}

void piece_pool::fail_stage(relay::stage_ticket ticket, relay::piece_failure failure) {
    const auto stage = stages_.find(ticket);
    if (stage == stages_.end()) {
        return;
    }
    const stage_handler done = std::move(stage->second.done);
    drop(stage);
    done(tl::unexpected(failure));
}

asio::awaitable<void> piece_pool::flush_releases() {
    const std::shared_ptr<piece_pool> self = shared_from_this();
    asio::steady_timer timer(strand_, release_period);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    releasing_ = false;
    const std::map<base::address, std::vector<std::string>> due = std::move(releases_);
    releases_.clear();
    for (const auto& row : due) {
        asio::co_spawn(
            strand_,
            [self, holder = row.first, handles = row.second]() {
                return self->send_release(holder, handles);
            },
            asio::detached);
    }
}

asio::awaitable<void> piece_pool::send_release(base::address holder, std::vector<std::string> handles) {
    http::exchange_timeouts limits;
    limits.response_header = release_limit;
    http::request message = relay_.protocol->write_release(handles);
    const base::result<http::response> answer =
        co_await http::exchange(strand_, relay_.pool, holder, std::move(message), limits);
    if (!answer) {
        // The holder frees results by itself after their lifetime.
        telemetry::log(telemetry::log_event::piece_call_failed, {{"endpoint_address", holder.text()},
                                                                 {"released", std::to_string(handles.size())},
                                                                 {"detail", answer.error().message}});
    }
}

} // namespace rattanbay::daemon::internal
