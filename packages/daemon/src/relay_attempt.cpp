#include "internal/relay_attempt.hpp"

#include "internal/clock.hpp"

#include <rattanbay/telemetry.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds connect_timeout{300};
/// Time to read the body of a refusal, without which its connection cannot be used again.
constexpr std::chrono::milliseconds max_refusal_body_time{50};
/// Time to read the rest of a second answer, which the endpoint sends in one piece.
constexpr std::chrono::milliseconds max_second_answer_time{50};
/// Number of second answers that are skipped before the answer to a request. Bounds the time spent on an
/// endpoint that repeats its answers without end.
constexpr std::size_t max_second_answers = 4;
constexpr int min_redirection_status = 300;

} // namespace

relay_attempt::relay_attempt(relay_state& relay, const base::request_id& request,
                             relay::chosen_endpoint chosen, std::size_t position, base::time_point start_time)
    : endpoint(std::move(chosen))
    , number(position)
    , start(start_time)
    , relay_(relay)
    , request_(request)
    , held_(relay.responses) {}

void relay_attempt::watch_endpoint(const asio::any_io_executor& executor) {
    registration_.emplace(relay_.calls, endpoint, [weak = weak_from_this(), executor](endpoint_end end) {
        asio::post(executor, [weak, end]() {
            const std::shared_ptr<relay_attempt> attempt = weak.lock();
            if (attempt) {
                attempt->handle_endpoint_end(end);
            }
        });
    });
}

void relay_attempt::handle_endpoint_end(endpoint_end end) {
    // Without a connection, one is being opened; the request is not sent then.
    if (connection_ && !connection_->is_readable()) {
        end_ = end;
        close();
    }
}

asio::awaitable<bool> relay_attempt::connect(asio::any_io_executor executor, base::duration max_idle,
                                             base::duration limit) {
    if (max_idle > base::duration::zero()) {
        connection_ = relay_.pool.acquire(endpoint.address, max_idle, request_.text());
    }
    reused = connection_ != nullptr;
    if (connection_) {
        repeats_exchange_ = connection_->has_carried(request_.text());
    } else {
        base::result<std::unique_ptr<http::client_connection>> opened =
            co_await http::client_connection::connect(executor, endpoint.address,
                                                      std::min<base::duration>(connect_timeout, limit),
                                                      relay_.pool.descriptors());
        if (!opened) {
            no_descriptor = opened.error().code == base::error_code::overloaded;
            detail = opened.error().message;
            co_return false;
        }
        connection_ = std::move(*opened);
    }
    co_return true;
}

void relay_attempt::send(http::request message, base::duration time_left) {
    assert(connection_ != nullptr);
    sent = true;
    connection_->begin_send(std::move(message), time_left);
}

asio::awaitable<std::optional<relay::attempt_result>>
relay_attempt::receive_header(base::duration time_left) {
    const base::result<http::response_header> received = co_await connection_->read_header(time_left);
    if (!received) {
        detail = received.error().message;
        if (received.error().code == base::error_code::exhausted) {
            oversized = received.error();
        }
        co_return received.error().code == base::error_code::timed_out ? relay::attempt_result::timed_out
                                                                       : relay::attempt_result::broken;
    }
    header = relay_.protocol->read_response(*received);
    co_return std::nullopt;
}

bool relay_attempt::is_second_answer() const {
    return header.request_id && header.request_id != request_ &&
           connection_->has_carried(header.request_id->text());
}

asio::awaitable<std::optional<relay::attempt_result>>
relay_attempt::skip_second_answer(base::duration time_left) {
    const base::time_point begin = now();
    detail = "status " + std::to_string(header.status) + " once more for the earlier request '" +
             header.request_id->text() + "'";
    telemetry::log(telemetry::log_event::crossed_answer,
                   {{"request", request_.text()}, {"endpoint", endpoint.id.text()}, {"detail", detail}});
    const base::duration limit = std::min<base::duration>(max_second_answer_time, time_left);
    const base::result<std::string> rest = co_await http::read_body(*connection_, limit, held_);
    held_.clear();
    if (!rest) {
        close();
        detail += ", " + rest.error().message;
        co_return relay::attempt_result::broken;
    }
    detail.clear();
    connection_->expect_response();
    co_return co_await receive_header(std::max(base::duration::zero(), time_left - (now() - begin)));
}

asio::awaitable<std::optional<relay::attempt_result>> relay_attempt::read_header(base::duration time_left) {
    const base::time_point end = now() + time_left;
    std::optional<relay::attempt_result> failed = co_await receive_header(time_left);
    for (std::size_t n = 0; !failed && n < max_second_answers && is_second_answer(); ++n) {
        time_left = std::max<base::duration>(base::duration::zero(), end - now());
        failed = co_await skip_second_answer(time_left);
    }
    if (failed) {
        co_return failed;
    }
    if (header.load) {
        relay_.balancer.update_load(endpoint.id, *header.load, now());
    }
    relay_.record_endpoint_wishes(endpoint.id, header);
    if (relay::is_refusal_of(header, request_, !reused)) {
        detail = "status " + std::to_string(header.status);
        const base::duration limit = std::min<base::duration>(max_refusal_body_time, time_left);
        const base::result<std::string> rest = co_await http::read_body(*connection_, limit, held_);
        detail += rest ? "" : ", " + rest.error().message;
        held_.clear();
        if (header.is_misdirected) {
            registration_.reset();
            relay_.record_misdirected(endpoint);
        }
        co_return relay::attempt_result::declined;
    }
    if (!relay::is_response_to(header, request_)) {
        close();
        detail = "status " + std::to_string(header.status) + " does not belong to this request (for '" +
                 (header.request_id ? header.request_id->text() : std::string()) + "')";
        telemetry::log(telemetry::log_event::crossed_answer,
                       {{"request", request_.text()}, {"endpoint", endpoint.id.text()}, {"detail", detail}});
        co_return relay::attempt_result::broken;
    }
    co_return std::nullopt;
}

bool relay_attempt::is_stream() const {
    return header.is_event_stream && header.status < min_redirection_status;
}

asio::awaitable<base::result<void>> relay_attempt::read_events(base::duration time_left) {
    const base::result<std::string> chunk = co_await connection_->read_some(time_left);
    if (!chunk) {
        co_return give_up(chunk.error());
    }
    stream_ended = chunk->empty();
    const base::result<void> fits =
        held_.resize(splitter_.pending_bytes() + events.bytes.size() + chunk->size());
    if (!fits) {
        co_return give_up(fits.error());
    }
    splitter_.append(*chunk);
    std::size_t count = 0;
    while (std::optional<relay::stream_event> next = splitter_.next()) {
        events.bytes += next->bytes;
        events.last_id = next->id ? next->id : events.last_id;
        ++count;
    }
    if (pace.record(count, now())) {
        calls_at_longest_pause = relay_.balancer.calls_in_progress(endpoint.id);
    }
    co_return base::result<void>();
}

asio::awaitable<base::result<void>> relay_attempt::read_body(base::duration time_left) {
    if (!body) {
        base::result<std::string> received = co_await http::read_body(*connection_, time_left, held_);
        if (!received) {
            co_return give_up(received.error());
        }
        body = std::move(*received);
    }
    co_return base::result<void>();
}

tl::unexpected<base::error> relay_attempt::give_up(const base::error& reason) {
    if (reason.code == base::error_code::exhausted) {
        oversized = reason;
        held_.clear();
        close();
    }
    return tl::unexpected<base::error>(reason);
}

void relay_attempt::close() {
    if (connection_) {
        connection_->close();
    }
}

void relay_attempt::release() {
    registration_.reset();
    if (end_) {
        detail = "the endpoint has ended: " + std::string(base::to_name(*end_));
    }
    // The idle connections to the address were closed when the endpoint was found to be another one.
    if (connection_ && connection_->reusable() && !header.is_misdirected) {
        if (sent) {
            connection_->record_exchange(request_.text());
        }
        relay_.pool.release(std::move(connection_));
    } else {
        close();
    }
}

} // namespace rattanbay::daemon::internal
