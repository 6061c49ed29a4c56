#include "loopback.hpp"

#include <rattanbay/http.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

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
    asio::ip::tcp::socket client(context);
    client.connect({asio::ip::make_address_v4(fixture.address.ip), fixture.address.port});
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(settling_time);
    fixture.server->set_limits(limits_with(10s));
    std::this_thread::sleep_for(600ms);
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
}

// Guards against idle connections that outlive a shorter limit.
BOOST_AUTO_TEST_CASE(a_shorter_limit_applies_to_idle_connections) {
    loopback_server fixture(serve, reject, limits_with(60s));
    asio::io_context context;
    asio::ip::tcp::socket client(context);
    client.connect({asio::ip::make_address_v4(fixture.address.ip), fixture.address.port});
    BOOST_TEST(exchange(client).starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(settling_time);
    fixture.server->set_limits(limits_with(100ms));
    std::array<char, 1> data{};
    boost::system::error_code ec;
    client.read_some(asio::buffer(data), ec);
    BOOST_TEST((ec == asio::error::eof));
}

BOOST_AUTO_TEST_SUITE_END()
