#include "loopback.hpp"

#include <rattanbay/http.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace http = rattanbay::http;
using namespace std::chrono_literals;

namespace {

http::response reject_with_status(const base::error& reason) {
    return http::json_response(reason.code == base::error_code::exhausted ? 413 : 400, "{}");
}

asio::awaitable<void> echo(const http::request& message, http::responder& out) {
    if (http::target_path(message.target) == "/stream") {
        http::response_header header;
        header.status = 200;
        co_await out.begin_stream(std::move(header));
        co_await out.write("first ");
        co_await out.write("second");
        co_await out.end_stream();
        co_return;
    }
    if (http::target_path(message.target) == "/cut") {
        http::response_header header;
        header.status = 200;
        co_await out.begin_stream(std::move(header));
        co_await out.write("first ");
        out.abort();
        co_return;
    }
    if (http::target_path(message.target) == "/silent") {
        asio::steady_timer timer(co_await asio::this_coro::executor, 1s);
        co_await timer.async_wait(asio::use_awaitable);
    }
    http::response response = http::json_response(200, message.body);
    co_await out.send(std::move(response));
}

/// Sends raw bytes and returns everything received until the server closes the connection.
std::string raw_exchange(const base::address& address, const std::string& bytes) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address_v4(address.ip), address.port});
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server)

// A truncated chunked body must not be taken for a complete one.
BOOST_AUTO_TEST_CASE(truncated_bodies_are_detected) {
    loopback_server fixture(echo, reject_with_status, {});
    const base::result<http::response> complete = fixture.exchange(http::request{"GET", "/stream", {}, ""});
    BOOST_REQUIRE(complete.has_value());
    BOOST_TEST(complete->body == "first second");
    const base::result<http::response> truncated = fixture.exchange(http::request{"GET", "/cut", {}, ""});
    BOOST_REQUIRE(!truncated.has_value());
    BOOST_CHECK(truncated.error().code == base::error_code::connection_broken);
}

// A connection with an outstanding response must not be used for the next request.
BOOST_AUTO_TEST_CASE(a_timed_out_connection_is_not_reused) {
    loopback_server fixture(echo, reject_with_status, {});
    fixture.timeouts.response_header = 50ms;
    const base::result<http::response> late = fixture.exchange(http::request{"POST", "/silent", {}, "late"});
    BOOST_REQUIRE(!late.has_value());
    BOOST_CHECK(late.error().code == base::error_code::timed_out);
    fixture.timeouts.response_header = 2s;
    const base::result<http::response> next = fixture.exchange(http::request{"POST", "/echo", {}, "next"});
    BOOST_REQUIRE_MESSAGE(next.has_value(), (next.has_value() ? std::string() : next.error().message));
    BOOST_TEST(next->body == "next");
}

// Large, malformed and slow requests must neither be served nor keep a connection open.
BOOST_AUTO_TEST_CASE(bad_requests_are_rejected_with_a_response) {
    http::server_limits limits;
    limits.max_body_bytes = 64;
    limits.body_timeout = 100ms;
    loopback_server fixture(echo, reject_with_status, limits);
    const std::string large_body =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x');
    BOOST_TEST(raw_exchange(fixture.address, large_body).starts_with("HTTP/1.1 413"));
    BOOST_TEST(raw_exchange(fixture.address, "nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    const std::string incomplete_body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc";
    BOOST_TEST(raw_exchange(fixture.address, incomplete_body).starts_with("HTTP/1.1 400"));
    const std::string header = "GET / HTTP/1.1\r\nX-Long: " + std::string(20000, 'x') + "\r\n\r\n";
    BOOST_TEST(raw_exchange(fixture.address, header).starts_with("HTTP/1.1 413"));
}

// A graceful shutdown must not abort a request that is being handled.
BOOST_AUTO_TEST_CASE(shut_down_completes_requests_in_progress) {
    loopback_server fixture(echo, reject_with_status, {});
    std::thread stop([&fixture]() {
        while (fixture.server->open_requests() == 0) {
            std::this_thread::yield();
        }
        fixture.server->shut_down();
    });
    const base::result<http::response> response =
        fixture.exchange(http::request{"POST", "/silent", {}, "kept"});
    stop.join();
    BOOST_REQUIRE_MESSAGE(response.has_value(),
                          (response.has_value() ? std::string() : response.error().message));
    BOOST_TEST(response->body == "kept");
    const base::result<http::response> refused = fixture.exchange(http::request{"POST", "/echo", {}, ""});
    BOOST_REQUIRE(!refused.has_value());
    BOOST_CHECK(refused.error().code == base::error_code::connection_refused);
}

// A folded line can be parsed as the continuation of the previous field by one recipient and as
// a separate field by another.
BOOST_AUTO_TEST_CASE(folded_header_lines_are_rejected) {
    loopback_server fixture(echo, reject_with_status, {});
    const std::string continued_with_space =
        "GET / HTTP/1.1\r\nHost: a\r\nX-One: a\r\n Content-Length: 5\r\n\r\n";
    BOOST_TEST(raw_exchange(fixture.address, continued_with_space).starts_with("HTTP/1.1 400"));
    const std::string continued_with_tab = "GET / HTTP/1.1\r\nHost: a\r\nX-One: a\r\n\tb\r\n\r\n";
    BOOST_TEST(raw_exchange(fixture.address, continued_with_tab).starts_with("HTTP/1.1 400"));
}

// A client that does not complete its header must not occupy a connection for as long as a large body is
// allowed to take.
BOOST_AUTO_TEST_CASE(incomplete_headers_are_rejected_after_the_header_timeout) {
    http::server_limits limits;
    limits.header_timeout = 100ms;
    limits.body_timeout = 10s;
    loopback_server fixture(echo, reject_with_status, limits);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    BOOST_TEST(raw_exchange(fixture.address, "GET / HTTP/1.1\r\nHost: a\r\n").starts_with("HTTP/1.1 400"));
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

// Limits must be replaceable while the server is running.
BOOST_AUTO_TEST_CASE(limits_can_be_replaced) {
    loopback_server fixture(echo, reject_with_status, {});
    const std::string body = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 65\r\n\r\n" +
                             std::string(65, 'x');
    BOOST_TEST(raw_exchange(fixture.address, body).starts_with("HTTP/1.1 200"));
    http::server_limits limits;
    limits.max_body_bytes = 64;
    fixture.server->set_limits(limits);
    BOOST_TEST(raw_exchange(fixture.address, body).starts_with("HTTP/1.1 413"));
}

// A draining server must not keep connections open for further requests.
BOOST_AUTO_TEST_CASE(connections_close_after_the_current_response_without_keep_alive) {
    loopback_server fixture(echo, reject_with_status, {});
    fixture.server->disable_keep_alive();
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string response = raw_exchange(fixture.address, request);
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
}

// A second request that arrives on a connection while the first one is being handled must not be lost.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_kept) {
    loopback_server fixture(
        [](const http::request& message, http::responder& out) -> asio::awaitable<void> {
            out.on_disconnect([]() {});
            asio::steady_timer timer(co_await asio::this_coro::executor, 50ms);
            co_await timer.async_wait(asio::use_awaitable);
            http::response response = http::json_response(200, message.target);
            co_await out.send(std::move(response));
        },
        reject_with_status, {});
    const std::string both = "GET /one HTTP/1.1\r\nHost: a\r\n\r\n"
                             "GET /two HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    const std::string responses = raw_exchange(fixture.address, both);
    BOOST_TEST(responses.find("/one") < responses.find("/two"));
    BOOST_TEST(responses.find("/two") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
