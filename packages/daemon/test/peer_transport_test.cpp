#include "internal/clock.hpp"
#include "internal/peer_transport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
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
