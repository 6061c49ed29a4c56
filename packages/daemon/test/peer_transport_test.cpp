#include "internal/clock.hpp"
#include "internal/peer_transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

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

/// Another daemon that gets stages on several connections. It holds the thread of the daemon under test for
/// longer than the time for an acknowledgement, and answers meanwhile.
void answer_while_held(asio::ip::tcp::acceptor& acceptor, asio::io_context& held, std::size_t connections) {
    static constexpr std::chrono::milliseconds hold_time{1000};
    constexpr std::chrono::milliseconds answer_time{100};
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t n = 0; n < connections; ++n) {
        sockets.push_back(acceptor.accept());
        std::string header(peer::frame_header_bytes, '\0');
        asio::read(sockets.back(), asio::buffer(header));
        std::string body(peer::frame_size(header).value(), '\0');
        asio::read(sockets.back(), asio::buffer(body));
    }
    asio::post(held, [&held]() {
        // Expires before the answers arrive, so that the thread finds expired timers before its sockets.
        const std::shared_ptr<asio::steady_timer> timer =
            std::make_shared<asio::steady_timer>(held, std::chrono::milliseconds(1));
        timer->async_wait([timer](const boost::system::error_code&) {});
        std::this_thread::sleep_for(hold_time);
    });
    std::this_thread::sleep_for(answer_time);
    const std::string secret = settings().cluster_secret;
    for (asio::ip::tcp::socket& socket : sockets) {
        asio::write(socket, asio::buffer(peer::encode(peer::frame(peer::accepted{}), secret) +
                                         peer::encode(peer::frame(peer::pieces_made{}), secret)));
    }
    boost::system::error_code ignored;
    char byte = 0;
    for (asio::ip::tcp::socket& socket : sockets) {
        socket.read_some(asio::buffer(&byte, 1), ignored);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_transport)

// Guards against taking a scheduler for unreachable whose acknowledgement arrived while the thread was held.
BOOST_AUTO_TEST_CASE(acknowledgements_that_arrived_before_the_timeout_are_read) {
    /// More sockets than the event loop takes at a time (128); it takes the expired timers after these.
    constexpr std::size_t exchanges = 250;
    asio::io_context context;
    asio::io_context server_context;
    asio::ip::tcp::acceptor acceptor(server_context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const base::address to{{127, 0, 0, 1}, acceptor.local_endpoint().port()};
    std::thread server(
        [&acceptor, &context, exchanges]() { answer_while_held(acceptor, context, exchanges); });
    internal::shared_state shared(context, settings(), base::incarnation(),
                                  rattanbay::daemon::platform_protocols::emulated());
    const internal::control_strand strand = asio::make_strand(context);
    const std::shared_ptr<internal::peer_transport> transport =
        std::make_shared<internal::peer_transport>(shared, strand);
    std::size_t answered = 0;
    for (std::size_t n = 0; n < exchanges; ++n) {
        asio::co_spawn(
            strand,
            [&transport, &answered, to]() -> asio::awaitable<void> {
                peer::frame message = peer::make_pieces{};
                const std::shared_ptr<internal::exchange_handle> handle =
                    std::make_shared<internal::exchange_handle>();
                const base::result<peer::frame> reply = co_await transport->exchange_with_ack(
                    to, std::move(message), std::chrono::seconds(10), handle);
                answered += reply && std::holds_alternative<peer::pieces_made>(*reply) ? 1 : 0;
            },
            asio::detached);
    }
    context.run();
    BOOST_TEST(answered == exchanges);
    transport->stop();
    server.join();
}

// Guards against sending a stage that was cancelled while its connection was being opened.
BOOST_AUTO_TEST_CASE(a_cancelled_message_is_not_sent) {
    asio::io_context context;
    asio::ip::tcp::acceptor silent(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const base::address to{{127, 0, 0, 1}, silent.local_endpoint().port()};
    internal::shared_state shared(context, settings(), base::incarnation(),
                                  rattanbay::daemon::platform_protocols::emulated());
    const internal::control_strand strand = asio::make_strand(context);
    const std::shared_ptr<internal::peer_transport> transport =
        std::make_shared<internal::peer_transport>(shared, strand);
    const std::shared_ptr<internal::exchange_handle> handle = std::make_shared<internal::exchange_handle>();
    std::future<base::result<peer::frame>> reply = asio::co_spawn(
        strand, transport->exchange_with_ack(to, peer::make_pieces{}, std::chrono::seconds(10), handle),
        asio::use_future);
    context.run_one();
    handle->cancel();
    context.run();
    BOOST_TEST(!reply.get().has_value());
    asio::ip::tcp::socket accepted = silent.accept();
    char byte = 0;
    boost::system::error_code ec;
    BOOST_TEST(accepted.read_some(asio::buffer(&byte, 1), ec) == 0U);
}

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
