#include "loopback.hpp"

#include <rattanbay/http.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <poll.h>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace http = rattanbay::http;
using namespace std::chrono_literals;

namespace {

/// Time in which the server begins to wait for the next request of a connection.
constexpr std::chrono::milliseconds settling_time{50};

http::response reject(const base::error&) {
    return http::json_response(400, "{}");
}

asio::awaitable<void> serve(const http::request&, http::responder& out) {
    http::response response = http::json_response(200, "{}");
    co_await out.send(std::move(response));
}

/// Sends a request and returns what is received until the response ends or the connection is closed.
std::string exchange(asio::ip::tcp::socket& socket) {
    std::string received;
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")), ec);
    asio::read_until(socket, asio::dynamic_buffer(received), "{}", ec);
    return received;
}

asio::ip::tcp::socket connect(asio::io_context& context, const base::address& address) {
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address_v4(address.ip), address.port});
    return socket;
}

/// Waits until the server closes the connection; false if it sends something instead.
/// Whether the server closes the connection well before the longest limit of these tests ends.
bool is_closed_by_server(asio::ip::tcp::socket& socket) {
    constexpr std::chrono::seconds close_timeout{10};
    pollfd query{};
    query.fd = socket.native_handle();
    query.events = POLLIN;
    if (::poll(&query, 1, static_cast<int>(std::chrono::milliseconds(close_timeout).count())) <= 0) {
        return false;
    }
    std::array<char, 1> data{};
    boost::system::error_code ec;
    socket.read_some(asio::buffer(data), ec);
    return ec == asio::error::eof;
}

http::server_limits limits_with(std::chrono::milliseconds idle_timeout) {
    http::server_limits limits;
    limits.idle_timeout = idle_timeout;
    return limits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(idle_limit)

// Guards against a connection that is closed by the former limit while its client relies on a longer one.
BOOST_AUTO_TEST_CASE(a_longer_limit_applies_to_idle_connections) {
    loopback_server fixture(serve, reject, limits_with(300ms));
    asio::io_context context;
    asio::ip::tcp::socket client = connect(context, fixture.address);
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(settling_time);
    fixture.server->set_limits(limits_with(10s));
    std::this_thread::sleep_for(600ms);
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
}

// Guards against a connection that is closed by a limit of which its client cannot know yet, and against idle
// connections that outlive a shorter limit after a response under it.
BOOST_AUTO_TEST_CASE(a_shorter_limit_applies_from_the_next_response) {
    loopback_server fixture(serve, reject, limits_with(60s));
    asio::io_context context;
    asio::ip::tcp::socket client = connect(context, fixture.address);
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(settling_time);
    fixture.server->set_limits(limits_with(100ms));
    std::this_thread::sleep_for(400ms);
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
    BOOST_TEST(is_closed_by_server(client));
}

// Guards against a new connection that is closed by a shorter limit before its first request.
BOOST_AUTO_TEST_CASE(a_shorter_limit_does_not_close_a_connection_without_a_request) {
    loopback_server fixture(serve, reject, limits_with(60s));
    asio::io_context context;
    asio::ip::tcp::socket client = connect(context, fixture.address);
    std::this_thread::sleep_for(settling_time);
    fixture.server->set_limits(limits_with(100ms));
    std::this_thread::sleep_for(400ms);
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
}

// Guards against a connection that is closed by the last of several limits while its client relies on a
// longer one that was in force since its last response.
BOOST_AUTO_TEST_CASE(the_longest_limit_since_the_last_response_applies) {
    loopback_server fixture(serve, reject, limits_with(300ms));
    asio::io_context context;
    asio::ip::tcp::socket client = connect(context, fixture.address);
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(settling_time);
    fixture.server->set_limits(limits_with(60s));
    std::this_thread::sleep_for(settling_time);
    fixture.server->set_limits(limits_with(100ms));
    std::this_thread::sleep_for(600ms);
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
    BOOST_TEST(is_closed_by_server(client));
}

BOOST_AUTO_TEST_SUITE_END()
