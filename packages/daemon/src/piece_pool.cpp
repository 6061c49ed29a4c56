#include "internal/piece_pool.hpp"

#include "internal/clock.hpp"

#include <rattanbay/telemetry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

/// Calls that a piece may be part of before it is given up.
constexpr unsigned most_tries = 4;
/// Pause after a call that the endpoint declined, or while no endpoint is free.
constexpr std::chrono::milliseconds retry_pause{25};
/// Time in which results that are given up are collected into one call for each holder.
constexpr std::chrono::milliseconds release_period{150};
constexpr std::chrono::seconds release_limit{1};
/// Margin for the network and the endpoint's own delays.
constexpr std::chrono::milliseconds call_margin{500};

/// Time within which a call ends, if calls that came before it fill the endpoint's queue.
base::duration call_limit(const config::piece_limits& pieces) {
    const base::duration whole = pieces.call_time + pieces.piece_time * static_cast<int>(pieces.batch);
    return whole * static_cast<int>(pieces.queue + 2) + call_margin;
}

} // namespace

piece_pool::piece_pool(asio::io_context& context, relay_state& relay)
    : relay_(relay)
    , strand_(asio::make_strand(context)) {}

relay::piece_ticket piece_pool::make(piece_request request, piece_handler done) {
    const relay::piece_ticket ticket = tickets_.fetch_add(1) + 1;
    const std::shared_ptr<piece_pool> self = shared_from_this();
    asio::post(strand_, [self, ticket, request = std::move(request), done = std::move(done)]() mutable {
        const base::service_name service = request.service;
        const std::shared_ptr<const relay_serving> serving = self->relay_.serving.read();
        const auto budget = serving->budgets.find(service);
        if (budget != serving->budgets.end()) {
            budget->second->count_request(now());
        }
        self->jobs_.emplace(ticket, job{std::move(request), std::move(done)});
        self->queue(ticket);
        self->pump(service);
    });
    return ticket;
}

void piece_pool::cancel(relay::piece_ticket ticket) {
    const std::shared_ptr<piece_pool> self = shared_from_this();
    asio::post(strand_, [self, ticket]() {
        const auto it = self->jobs_.find(ticket);
        if (it != self->jobs_.end()) {
            self->lines_[it->second.request.service].queue.cancel(ticket);
            self->jobs_.erase(it);
        }
    });
}

void piece_pool::release(std::vector<std::string> handles) {
    if (handles.empty()) {
        return;
    }
    const std::shared_ptr<piece_pool> self = shared_from_this();
    asio::post(strand_, [self, handles = std::move(handles)]() {
        const bool idle = self->releases_.empty();
        for (const std::string& handle : handles) {
            const std::optional<base::address> holder = self->relay_.protocol->holder(handle);
            if (holder) {
                self->releases_[*holder].push_back(handle);
            }
        }
        if (idle && !self->releases_.empty()) {
            asio::co_spawn(
                self->strand_, [self]() { return self->flush_releases(); }, asio::detached);
        }
    });
}

void piece_pool::queue(relay::piece_ticket ticket) {
    const job& queued = jobs_.at(ticket);
    lines_[queued.request.service].queue.add(relay::waiting_piece{
        ticket, queued.request.order, queued.request.due, queued.request.deadline});
}

void piece_pool::pump(const base::service_name& service) {
    line& here = lines_[service];
    const base::time_point time = now();
    for (const relay::piece_ticket late : here.queue.expire(time)) {
        finish(late, relay::piece_result{std::nullopt, relay::piece_failure::late});
    }
    const std::shared_ptr<const relay_serving> serving = relay_.serving.read();
    const config::relay_service* const settings = serving->find(service);
    if (settings == nullptr || !settings->pieces) {
        if (here.queue.size() > 0) {
            pump_later(service);
        }
        return;
    }
    const config::piece_limits& limits = *settings->pieces;
    const std::size_t most = relay::most_calls(relay_.balancer.usable_endpoints(service), limits.slots,
                                               std::max<std::size_t>(1, relay_.daemons.load()));
    while (here.queue.size() > 0 && here.calls < most) {
        relay::endpoint_question question;
        question.service = service;
        question.most_running = static_cast<std::uint32_t>(limits.slots);
        const std::optional<relay::chosen_endpoint> endpoint = relay_.balancer.choose(question, time);
        if (!endpoint) {
            pump_later(service);
            return;
        }
        ++here.calls;
        relay_.balancer.started(endpoint->id);
        const std::shared_ptr<piece_pool> self = shared_from_this();
        asio::co_spawn(
            strand_,
            [self, service, chosen = *endpoint, pieces = here.queue.take(limits.batch),
             limit = call_limit(limits)]() { return self->call(service, chosen, pieces, limit); },
            asio::detached);
    }
}

void piece_pool::pump_later(const base::service_name& service) {
    line& here = lines_[service];
    if (here.retry_set) {
        return;
    }
    here.retry_set = true;
    const std::shared_ptr<piece_pool> self = shared_from_this();
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(strand_, retry_pause);
    timer->async_wait([self, service, timer](const boost::system::error_code&) {
        self->lines_[service].retry_set = false;
        self->pump(service);
    });
}

asio::awaitable<void> piece_pool::call(base::service_name service, relay::chosen_endpoint endpoint,
                                       std::vector<relay::waiting_piece> pieces, base::duration limit) {
    const base::time_point start = now();
    std::vector<relay::piece_order> orders;
    for (const relay::waiting_piece& piece : pieces) {
        orders.push_back(piece.order);
        orders.back().time_left = piece.deadline - start;
    }
    http::exchange_limits limits;
    limits.head = limit;
    http::request message = relay_.protocol->write_pieces(orders, endpoint.id);
    const base::result<http::response> answer =
        co_await http::exchange(strand_, relay_.pool, endpoint.address, std::move(message), limits);
    relay::attempt_end end = relay::attempt_end::broken;
    std::string detail;
    if (answer) {
        const relay::answer_head head =
            relay_.protocol->read_answer(http::response_head{answer->status, answer->fields});
        if (head.load) {
            relay_.balancer.reported(endpoint.id, *head.load, now());
        }
        constexpr int status_ok = 200;
        base::result<std::vector<relay::piece_result>> results =
            base::fail(base::error_code::unavailable, "status " + std::to_string(answer->status));
        if (answer->status == status_ok) {
            results = relay_.protocol->read_pieces(answer->body, pieces.size());
        }
        end = head.not_run ? relay::attempt_end::declined
              : results    ? relay::attempt_end::answered
                           : relay::attempt_end::broken;
        if (results) {
            take_results(pieces, *results);
        } else {
            detail = results.error().message;
        }
    } else {
        end = answer.error().code == base::error_code::connection_refused ? relay::attempt_end::not_sent
                                                                          : relay::attempt_end::broken;
        detail = answer.error().message;
    }
    const double size = static_cast<double>(pieces.size());
    relay_.balancer.ended(endpoint.id, end, now() - start, 1 + size / 8, now());
    if (end != relay::attempt_end::answered) {
        telemetry::log(telemetry::log_event::piece_call_failed,
                       {{"request", pieces.front().order.call.text()},
                        {"service", service.text()},
                        {"endpoint", endpoint.id.text()},
                        {"pieces", std::to_string(pieces.size())},
                        {"end", std::string(base::to_name(end))},
                        {"detail", detail}});
        try_again(service, pieces, end);
    }
    --lines_[service].calls;
    if (end == relay::attempt_end::answered) {
        pump(service);
    } else {
        pump_later(service);
    }
}

void piece_pool::take_results(const std::vector<relay::waiting_piece>& pieces,
                              const std::vector<relay::piece_result>& results) {
    std::vector<std::string> unwanted;
    for (std::size_t n = 0; n < pieces.size(); ++n) {
        const relay::piece_result& result = results[n];
        const auto it = jobs_.find(pieces[n].ticket);
        if (it == jobs_.end()) {
            if (result.handle) {
                unwanted.push_back(*result.handle);
            }
            continue;
        }
        const bool may_help = !result.handle && (result.failure == relay::piece_failure::no_room ||
                                                 result.failure == relay::piece_failure::failed);
        if (may_help && ++it->second.tries < most_tries) {
            queue(pieces[n].ticket);
        } else {
            finish(pieces[n].ticket, result);
        }
    }
    release(std::move(unwanted));
}

void piece_pool::try_again(const base::service_name& service,
                           const std::vector<relay::waiting_piece>& pieces, relay::attempt_end end) {
    const std::shared_ptr<const relay_serving> serving = relay_.serving.read();
    const auto budget = serving->budgets.find(service);
    for (const relay::waiting_piece& piece : pieces) {
        const auto it = jobs_.find(piece.ticket);
        if (it == jobs_.end()) {
            continue;
        }
        // A call that was declined or not sent did no work, so that sending its pieces again repeats none.
        const bool repeats = end == relay::attempt_end::broken;
        const bool allowed = !repeats || (budget != serving->budgets.end() &&
                                          budget->second->try_spend(now(), relay_.daemons.load()));
        if (allowed && (!repeats || ++it->second.tries < most_tries)) {
            queue(piece.ticket);
        } else {
            finish(piece.ticket, relay::piece_result{std::nullopt, relay::piece_failure::failed});
        }
    }
}

void piece_pool::finish(relay::piece_ticket ticket, const relay::piece_result& result) {
    const auto it = jobs_.find(ticket);
    if (it == jobs_.end()) {
        return;
    }
    const piece_handler done = std::move(it->second.done);
    jobs_.erase(it);
    done(result);
}

asio::awaitable<void> piece_pool::flush_releases() {
    const std::shared_ptr<piece_pool> self = shared_from_this();
    asio::steady_timer timer(strand_, release_period);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    const std::map<base::address, std::vector<std::string>> due = std::move(releases_);
    releases_.clear();
    for (const auto& row : due) {
        asio::co_spawn(
            strand_, [self, holder = row.first, handles = row.second]() { return self->send_release(holder, handles); },
            asio::detached);
    }
}

asio::awaitable<void> piece_pool::send_release(base::address holder, std::vector<std::string> handles) {
    http::exchange_limits limits;
    limits.head = release_limit;
    http::request message = relay_.protocol->write_release(handles);
    const base::result<http::response> answer =
        co_await http::exchange(strand_, relay_.pool, holder, std::move(message), limits);
    if (!answer) {
        // The holder frees results by itself after their lifetime.
        telemetry::log(telemetry::log_event::piece_call_failed,
                       {{"endpoint_address", holder.text()},
                        {"released", std::to_string(handles.size())},
                        {"detail", answer.error().message}});
    }
}

} // namespace rattanbay::daemon::internal
