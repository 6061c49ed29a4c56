#include "internal/piece_router.hpp"

#include "internal/clock.hpp"

#include <rattanbay/membership.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

/// Margin of an exchange beyond the time in which the pieces are of use.
constexpr std::chrono::milliseconds exchange_margin{100};
/// Period of the check that the scheduling daemon is still there.
constexpr std::chrono::milliseconds watch_period{100};
constexpr std::chrono::seconds release_limit{1};
/// Daemons that are asked in turn before this one schedules itself.
constexpr std::size_t most_schedulers = 3;
/// How long a daemon that could not be reached is passed over.
constexpr std::chrono::seconds avoidance{1};

std::int64_t ms_until(base::time_point at, base::time_point from) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(at - from).count();
}

} // namespace

piece_router::piece_router(shared_state& shared, piece_pool& pool, peer_transport& transport,
                           control_strand strand)
    : shared_(shared)
    , pool_(pool)
    , transport_(transport)
    , strand_(strand) {}

std::vector<peer::member_record> piece_router::schedulers_of(const base::service_name& service) {
    const base::time_point time = now();
    std::erase_if(avoided_, [time](const auto& row) { return row.second <= time; });
    std::vector<peer::member_record> out;
    for (const peer::member_record& next :
         membership::select_schedulers(shared_.members.read()->members, service, most_schedulers)) {
        if (next.id == shared_.id) {
            out.push_back(next);
            break;
        }
        if (!avoided_.contains(next.peer_address)) {
            out.push_back(next);
        }
    }
    return out;
}

void piece_router::avoid(const peer::member_record& scheduler) {
    avoided_[scheduler.peer_address] = now() + avoidance;
}

void piece_router::make(stage_request request, stage_handler done) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self, request = std::move(request), done = std::move(done)]() {
            return self->make_somewhere(request, done);
        },
        asio::detached);
}

asio::awaitable<void> piece_router::make_somewhere(stage_request request, stage_handler done) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    for (const peer::member_record& scheduler : schedulers_of(request.service)) {
        if (scheduler.id == shared_.id) {
            break;
        }
        if (co_await make_remotely(scheduler, request, done)) {
            co_return;
        }
        avoid(scheduler);
    }
    pool_.make(std::move(request), std::move(done));
}

asio::awaitable<void> piece_router::watch(peer::member_record scheduler,
                                          std::shared_ptr<exchange_handle> handle) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    asio::steady_timer timer(strand_);
    while (!handle->ended) {
        timer.expires_after(watch_period);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const std::shared_ptr<const member_view> view = shared_.members.read();
        const bool there = std::ranges::any_of(view->members, [&scheduler](const peer::member_record& row) {
            return row.id == scheduler.id && row.status == peer::member_status::live;
        });
        if (!there) {
            handle->cancel();
            co_return;
        }
    }
}

asio::awaitable<bool> piece_router::make_remotely(peer::member_record scheduler, const stage_request& request,
                                                  const stage_handler& done) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    const base::time_point time = now();
    peer::make_pieces asked{request.service, request.order, request.near, ms_until(request.due, time),
                            ms_until(request.latest, time)};
    peer::frame message = std::move(asked);
    const std::shared_ptr<exchange_handle> handle = std::make_shared<exchange_handle>();
    asio::co_spawn(
        strand_, [self, scheduler, handle]() { return self->watch(scheduler, handle); }, asio::detached);
    const base::duration limit = request.latest - time + exchange_margin;
    const base::result<peer::frame> answer =
        co_await transport_.exchange_long(scheduler.peer_address, std::move(message), limit, handle);
    handle->ended = true;
    const peer::pieces_made* const made = answer ? std::get_if<peer::pieces_made>(&*answer) : nullptr;
    if (made == nullptr && now() >= request.latest) {
        done(tl::unexpected(relay::piece_failure::deadline_exceeded));
        co_return true;
    }
    if (made == nullptr) {
        telemetry::log(telemetry::log_event::piece_scheduler_unreachable,
                       {{"request", request.order.request.text()},
                        {"service", request.service.text()},
                        {"scheduler", scheduler.vm.text()},
                        {"detail", answer ? "the answer is of another kind" : answer.error().message}});
        co_return false;
    }
    std::vector<std::string> handles;
    for (const relay::piece_result& result : made->results) {
        if (!result.handle) {
            done(tl::unexpected(result.failure));
            co_return true;
        }
        handles.push_back(*result.handle);
    }
    if (handles.size() != request.order.pieces) {
        done(tl::unexpected(relay::piece_failure::failed));
        co_return true;
    }
    done(handles);
    co_return true;
}

void piece_router::release(base::service_name service, std::vector<std::string> handles) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self, message = peer::release_pieces{service, handles}]() {
            return self->release_somewhere(message);
        },
        asio::detached);
}

asio::awaitable<void> piece_router::release_somewhere(peer::release_pieces message) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    for (const peer::member_record& scheduler : schedulers_of(message.service)) {
        if (scheduler.id == shared_.id) {
            break;
        }
        peer::frame frame = message;
        const base::result<peer::frame> answer =
            co_await transport_.exchange_kept(scheduler.peer_address, std::move(frame), release_limit);
        if (answer) {
            co_return;
        }
        avoid(scheduler);
    }
    pool_.release(message.service, message.handles);
}

asio::awaitable<peer::frame> piece_router::answer(peer::make_pieces message) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    const base::time_point time = now();
    stage_request request;
    request.service = message.service;
    request.order = std::move(message.order);
    request.near = message.near;
    request.due = time + base::from_milliseconds(message.due_ms);
    request.latest = time + base::from_milliseconds(message.latest_ms);
    const std::shared_ptr<asio::steady_timer> ended =
        std::make_shared<asio::steady_timer>(strand_, asio::steady_timer::time_point::max());
    const std::shared_ptr<std::optional<stage_result>> result =
        std::make_shared<std::optional<stage_result>>();
    pool_.make(std::move(request), [ended, result](const stage_result& made) {
        *result = made;
        ended->cancel();
    });
    if (!*result) {
        boost::system::error_code ec;
        co_await ended->async_wait(asio::redirect_error(asio::use_awaitable, ec));
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

void piece_router::take_release(const peer::release_pieces& message) {
    pool_.release(message.service, message.handles);
}

} // namespace rattanbay::daemon::internal
