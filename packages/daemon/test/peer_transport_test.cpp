#include "internal/clock.hpp"
#include "internal/peer_transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <future>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace internal = rattanbay::daemon::internal;
namespace peer = rattanbay::peer;

namespace {

config::settings settings() {
    config::settings out;
    out.vm = base::vm_id("entry-0");
    out.peer_address = base::address{{127, 0, 0, 1}, 0};
    out.cluster_secret = "0123456789abcdef";
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_transport)

// A daemon that accepts connections but does not read must not hold up a request until the request has
// expired.
BOOST_AUTO_TEST_CASE(a_daemon_that_does_not_acknowledge_a_message_is_detected_early) {
    asio::io_context context;
    // Connections stay in the accept queue of this socket; nothing reads from them.
    asio::ip::tcp::acceptor silent(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const base::address to{{127, 0, 0, 1}, silent.local_endpoint().port()};
    internal::shared_state shared(context, settings(), base::incarnation(),
                                  rattanbay::daemon::platform_protocols::emulated());
    const internal::control_strand strand = asio::make_strand(context);
    const std::shared_ptr<internal::peer_transport> transport =
        std::make_shared<internal::peer_transport>(shared, strand);
    const base::time_point start = internal::now();
    std::future<base::result<peer::frame>> reply =
        asio::co_spawn(strand,
                       transport->exchange_with_ack(to, peer::make_pieces{}, std::chrono::seconds(10),
                                                    std::make_shared<internal::exchange_handle>()),
                       asio::use_future);
    context.run();
    BOOST_TEST(!reply.get().has_value());
    BOOST_CHECK(internal::now() - start < std::chrono::seconds(2));
}

BOOST_AUTO_TEST_SUITE_END()
