#include <rattanbay/http/liveness_probes.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rattanbay::http {

namespace {

using probe_idle_time = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using probe_repeat_interval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using probe_limit = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

} // namespace

void enable_liveness_probes(boost::asio::ip::tcp::socket& socket) {
    constexpr int interval_s = static_cast<int>(probe_interval.count());
    boost::system::error_code ignored;
    socket.set_option(probe_idle_time(interval_s), ignored);
    socket.set_option(probe_repeat_interval(interval_s), ignored);
    socket.set_option(probe_limit(max_unanswered_probes), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
}

} // namespace rattanbay::http
