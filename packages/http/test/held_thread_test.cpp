#include "loopback.hpp"

#include <rattanbay/http.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace http = rattanbay::http;
using namespace std::chrono_literals;

namespace {

/// Time for which the server's thread is held while requests arrive.
constexpr std::chrono::milliseconds hold_time{300};
/// Time in which the server begins to hold its thread, and in which written bytes arrive.
constexpr std::chrono::milliseconds arrival_time{50};

const std::string get_request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

http::response reject(const base::error&) {
    return http::json_response(400, "{}");
}

asio::awaitable<void> serve(const http::request&, http::responder& out) {
    http::response response = http::json_response(200, "{}");
    co_await out.send(std::move(response));
}

/// A client connection on which nothing was sent yet.
class new_connection {
public:
    explicit new_connection(const base::address& address)
        : socket_(context_) {
        socket_.connect({asio::ip::make_address_v4(address.ip), address.port});
    }

    void send(const std::string& bytes = get_request) { asio::write(socket_, asio::buffer(bytes)); }

    /// Everything received until the response ends or the server closes the connection.
    std::string receive() {
        std::string received;
        boost::system::error_code ec;
        asio::read_until(socket_, asio::dynamic_buffer(received), "{}", ec);
        return received;
    }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_;
};

/// A client connection that has got one response and is idle.
class kept_connection : public new_connection {
public:
    explicit kept_connection(const base::address& address)
        : new_connection(address) {
        send();
        receive();
    }
};

void hold_thread(loopback_server& fixture, std::chrono::milliseconds time) {
    // Expires before the requests arrive, so that the thread finds its timers expired before their sockets.
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(fixture.context, arrival_time / 2);
    timer->async_wait([timer](const boost::system::error_code&) {});
    asio::post(fixture.context, [time]() { std::this_thread::sleep_for(time); });
    std::this_thread::sleep_for(arrival_time);
}

} // namespace

BOOST_AUTO_TEST_SUITE(held_thread)

// Guards against a planned stop that closes a connection on which a request has arrived unread.
BOOST_AUTO_TEST_CASE(a_request_that_arrived_before_a_shutdown_is_answered) {
    loopback_server fixture(serve, reject, {});
    kept_connection client(fixture.address);
    hold_thread(fixture, hold_time);
    client.send();
    std::this_thread::sleep_for(arrival_time);
    fixture.server->shut_down();
    const std::string answer = client.receive();
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

// Guards against an idle timeout that closes a connection on which a request has arrived unread. With this
// many connections, the thread finds expired timers before it has seen all sockets.
BOOST_AUTO_TEST_CASE(requests_that_arrived_before_the_idle_timeout_are_answered) {
    constexpr std::size_t connections = 300;
    // Longer than opening the connections takes on a busy machine.
    constexpr std::chrono::milliseconds idle_time{2000};
    http::server_limits limits;
    limits.idle_timeout = idle_time;
    loopback_server fixture(serve, reject, limits);
    std::vector<std::unique_ptr<kept_connection>> clients;
    for (std::size_t n = 0; n < connections; ++n) {
        clients.push_back(std::make_unique<kept_connection>(fixture.address));
    }
    hold_thread(fixture, idle_time + hold_time);
    for (const std::unique_ptr<kept_connection>& client : clients) {
        client->send();
    }
    std::size_t answered = 0;
    for (const std::unique_ptr<kept_connection>& client : clients) {
        answered += client->receive().starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    BOOST_TEST(answered == connections);
}

// Guards against a planned stop that closes a new connection while its first request is on the way.
BOOST_AUTO_TEST_CASE(the_first_request_of_a_connection_is_answered_during_a_shutdown) {
    loopback_server fixture(serve, reject, {});
    new_connection client(fixture.address);
    new_connection unused(fixture.address);
    fixture.server->shut_down();
    // The server has accepted both connections and closes those that it doesn't keep.
    while (fixture.server->listening()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::this_thread::sleep_for(arrival_time / 2);
    client.send();
    const std::string answer = client.receive();
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    // A connection that is never used ends too.
    BOOST_TEST(unused.receive().empty());
}

// Guards against a planned stop that resets connections which wait in the listener's queue.
BOOST_AUTO_TEST_CASE(requests_on_connections_not_yet_accepted_at_a_shutdown_are_answered) {
    constexpr std::size_t connections = 8;
    loopback_server fixture(serve, reject, {});
    hold_thread(fixture, hold_time);
    std::vector<std::unique_ptr<new_connection>> clients;
    for (std::size_t n = 0; n < connections; ++n) {
        clients.push_back(std::make_unique<new_connection>(fixture.address));
        clients.back()->send();
    }
    std::this_thread::sleep_for(arrival_time);
    fixture.server->shut_down();
    std::size_t answered = 0;
    for (const std::unique_ptr<new_connection>& client : clients) {
        answered += client->receive().starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    BOOST_TEST(answered == connections);
}

// Guards against a planned stop that closes a connection on which only a part of a request has arrived.
BOOST_AUTO_TEST_CASE(a_request_that_arrives_in_parts_around_a_shutdown_is_answered) {
    loopback_server fixture(serve, reject, {});
    kept_connection client(fixture.address);
    hold_thread(fixture, hold_time);
    client.send(get_request.substr(0, 5));
    std::this_thread::sleep_for(arrival_time);
    fixture.server->shut_down();
    std::this_thread::sleep_for(2 * hold_time);
    client.send(get_request.substr(5));
    const std::string answer = client.receive();
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
}

// Guards against idle connections that outlive a planned stop or the idle timeout.
BOOST_AUTO_TEST_CASE(idle_connections_are_closed) {
    http::server_limits limits;
    limits.idle_timeout = 100ms;
    loopback_server timed(serve, reject, limits);
    kept_connection idle(timed.address);
    BOOST_TEST(idle.receive().empty());
    loopback_server stopped(serve, reject, {});
    kept_connection open(stopped.address);
    stopped.server->shut_down();
    BOOST_TEST(open.receive().empty());
}

BOOST_AUTO_TEST_SUITE_END()
