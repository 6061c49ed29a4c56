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

#include <array>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

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

/// A transport that serves `release_pieces` on a thread of its own, and clients that send it bytes.
class serving_transport {
public:
    serving_transport()
        : shared_(context_, settings_with_free_port(), base::incarnation(),
                  rattanbay::daemon::platform_protocols::emulated())
        , transport_(std::make_shared<internal::peer_transport>(shared_, asio::make_strand(context_))) {
        const base::result<void> started =
            transport_->start([](const base::address&, const peer::datagram&) {},
                              [this](peer::frame message, std::shared_ptr<internal::requester_link>) {
                                  return handle(std::move(message));
                              });
        BOOST_REQUIRE(started.has_value());
        thread_ = std::thread([this]() { context_.run(); });
    }

    serving_transport(const serving_transport&) = delete;
    serving_transport& operator=(const serving_transport&) = delete;

    ~serving_transport() {
        context_.stop();
        thread_.join();
        transport_->stop();
    }

    /// Sends parts of a message on a new connection. Returns whether a reply arrives; it does not if the
    /// connection is closed.
    bool send(const std::vector<std::string>& parts) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            released_.clear();
        }
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        socket.connect({asio::ip::make_address_v4("127.0.0.1"), shared_.settings.peer_address.port});
        socket.set_option(asio::ip::tcp::no_delay(true));
        for (const std::string& part : parts) {
            asio::write(socket, asio::buffer(part));
            // Lets the transport read the parts separately; the result does not depend on it.
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        boost::system::error_code ec;
        std::array<char, peer::frame_header_bytes> header{};
        asio::read(socket, asio::buffer(header), ec);
        return !ec;
    }

    /// Handles of the last message.
    std::vector<std::string> released() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return released_;
    }

private:
    static config::settings settings_with_free_port() {
        asio::io_context io;
        const asio::ip::tcp::acceptor probe(io, {asio::ip::make_address_v4("127.0.0.1"), 0});
        config::settings out = settings();
        out.peer_address.port = probe.local_endpoint().port();
        return out;
    }

    asio::awaitable<peer::frame> handle(peer::frame message) {
        const std::lock_guard<std::mutex> lock(mutex_);
        released_ = std::get<peer::release_pieces>(message).handles;
        co_return peer::frame(peer::accepted{});
    }

    asio::io_context context_;
    internal::shared_state shared_;
    std::shared_ptr<internal::peer_transport> transport_;
    std::thread thread_;
    std::mutex mutex_;
    std::vector<std::string> released_;
};

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
        [&acceptor, &context]() { answer_while_held(acceptor, context, exchanges); });
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

// Guards against frames that are cut or joined wrongly when they arrive in parts or are larger than the
// receive buffer.
BOOST_AUTO_TEST_CASE(a_frame_is_read_whole_however_it_arrives) {
    serving_transport served;
    for (const std::size_t handles : {0U, 3U, 40U, 400U, 5000U}) {
        peer::release_pieces message;
        for (std::size_t n = 0; n < handles; ++n) {
            message.handles.push_back("10.0.0.1:8080/" + std::to_string(n));
        }
        const std::string frame = peer::encode(peer::frame(message), settings().cluster_secret);
        for (const std::size_t first : {std::size_t{1}, std::size_t{5}, frame.size() - 1, frame.size()}) {
            BOOST_TEST(served.send({frame.substr(0, first), frame.substr(first)}));
            BOOST_TEST(served.released().size() == handles);
        }
    }
}

// Guards against bytes behind a frame that are taken for a part of the next one.
BOOST_AUTO_TEST_CASE(a_connection_with_bytes_behind_a_frame_is_closed) {
    serving_transport served;
    const std::string frame =
        peer::encode(peer::frame(peer::release_pieces{{}, {"h"}}), settings().cluster_secret);
    BOOST_TEST(!served.send({frame + "x"}));
    BOOST_TEST(served.released().empty());
    BOOST_TEST(served.send({frame}));
}

BOOST_AUTO_TEST_SUITE_END()
