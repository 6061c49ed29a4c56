#include "internal/piece_router.hpp"

#include "internal/clock.hpp"

#include <rattanbay/base/hash.hpp>

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

std::int64_t ms_until(base::time_point at, base::time_point from) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(at - from).count();
}

bool schedules(const peer::member_record& member) {
    return member.status == peer::member_status::live && !member.draining && member.revision > 0;
}

} // namespace

piece_router::piece_router(shared_state& shared, piece_pool& pool, peer_transport& transport,
                           control_strand strand)
    : shared_(shared)
    , pool_(pool)
    , transport_(transport)
    , strand_(strand) {}

std::optional<peer::member_record> piece_router::scheduler_of(const base::service_name& service) const {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    const peer::member_record* best = nullptr;
    base::hash128 best_rank;
    for (const peer::member_record& member : view->members) {
        if (!schedules(member)) {
            continue;
        }
        // Rendezvous hashing: a lost daemon moves only the services that it scheduled.
        const base::hash128 rank = base::fast_hash(service.text() + "/" + member.id.text());
        if (best == nullptr || best_rank < rank) {
            best = &member;
            best_rank = rank;
        }
    }
    if (best == nullptr || best->id == shared_.id) {
        return std::nullopt;
    }
    return *best;
}

void piece_router::make(stage_request request, stage_handler done) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    asio::post(strand_, [self, request = std::move(request), done = std::move(done)]() mutable {
        const std::optional<peer::member_record> scheduler = self->scheduler_of(request.service);
        if (!scheduler) {
            self->pool_.make(std::move(request), std::move(done));
            return;
        }
        asio::co_spawn(
            self->strand_,
            [self, at = *scheduler, request = std::move(request), done = std::move(done)]() {
                return self->make_remotely(at, request, done);
            },
            asio::detached);
    });
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

asio::awaitable<void> piece_router::make_remotely(peer::member_record scheduler, stage_request request,
                                                  stage_handler done) {
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
        co_await transport_.exchange_kept(scheduler.peer_address, std::move(message), limit, handle);
    handle->ended = true;
    const peer::pieces_made* const made = answer ? std::get_if<peer::pieces_made>(&*answer) : nullptr;
    if (made == nullptr) {
        telemetry::log(telemetry::log_event::piece_scheduler_unreachable,
                       {{"request", request.order.call.text()},
                        {"service", request.service.text()},
                        {"scheduler", scheduler.vm.text()},
                        {"detail", answer ? "the answer is of another kind" : answer.error().message}});
        pool_.make(std::move(request), std::move(done));
        co_return;
    }
    std::vector<std::string> handles;
    for (const relay::piece_result& result : made->results) {
        if (!result.handle) {
            done(tl::unexpected(result.failure));
            co_return;
        }
        handles.push_back(*result.handle);
    }
    if (handles.size() != request.order.pieces) {
        done(tl::unexpected(relay::piece_failure::failed));
        co_return;
    }
    done(handles);
}

void piece_router::release(base::service_name service, std::vector<std::string> handles) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    asio::post(strand_, [self, service = std::move(service), handles = std::move(handles)]() {
        const std::optional<peer::member_record> scheduler = self->scheduler_of(service);
        if (!scheduler) {
            self->pool_.release(service, handles);
            return;
        }
        asio::co_spawn(
            self->strand_,
            [self, at = *scheduler, message = peer::release_pieces{service, handles}]() {
                return self->release_remotely(at, message);
            },
            asio::detached);
    });
}

asio::awaitable<void> piece_router::release_remotely(peer::member_record scheduler,
                                                     peer::release_pieces message) {
    const std::shared_ptr<piece_router> self = shared_from_this();
    peer::frame frame = message;
    const std::shared_ptr<exchange_handle> handle = std::make_shared<exchange_handle>();
    const base::result<peer::frame> answer =
        co_await transport_.exchange_kept(scheduler.peer_address, std::move(frame), release_limit, handle);
    if (!answer) {
        pool_.release(message.service, message.handles);
    }
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
