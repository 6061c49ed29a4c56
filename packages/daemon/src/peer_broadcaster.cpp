#include "internal/peer_broadcaster.hpp"

#include "internal/clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds repeat_delay{200};
/// Maximum number of broadcasts in a window; limits the traffic while many endpoints crash.
constexpr std::size_t max_per_window = 20;
constexpr std::chrono::seconds window{1};

} // namespace

peer_broadcaster::peer_broadcaster(shared_state& shared, std::shared_ptr<peer_transport> transport,
                                   control_strand strand)
    : shared_(shared)
    , transport_(std::move(transport))
    , strand_(strand) {}

void peer_broadcaster::send(peer::datagram message) {
    const std::shared_ptr<peer_broadcaster> self = shared_from_this();
    asio::co_spawn(
        strand_, [self, message = std::move(message)]() { return self->send_twice(message); },
        asio::detached);
}

bool peer_broadcaster::try_take() {
    const base::time_point current_time = now();
    if (current_time - window_start_ >= window) {
        window_start_ = current_time;
        sent_in_window_ = 0;
    }
    return ++sent_in_window_ <= max_per_window;
}

asio::awaitable<void> peer_broadcaster::send_twice(peer::datagram message) {
    const std::shared_ptr<peer_broadcaster> self = shared_from_this();
    if (!try_take()) {
        telemetry::log(telemetry::log_event::part_report_dropped,
                       {{"in_window", std::to_string(sent_in_window_)}});
        co_return;
    }
    send_to_members(message);
    asio::steady_timer timer(strand_, repeat_delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    send_to_members(message);
}

void peer_broadcaster::send_to_members(const peer::datagram& message) {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    for (const peer::member_record& member : view->members) {
        if (member.id != shared_.id && member.status != peer::member_status::gone) {
            transport_->send(member.peer_address, message);
        }
    }
}

} // namespace rattanbay::daemon::internal
