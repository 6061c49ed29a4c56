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

http::response plain_rejection(const base::error& reason) {
    return http::json_response(reason.code == base::error_code::exhausted ? 413 : 400, "{}");
}

asio::awaitable<void> echo(const http::request& message, http::responder& out) {
    if (http::path_of(message.target) == "/stream") {
        http::response_head head;
        head.status = 200;
        co_await out.begin_stream(std::move(head));
        co_await out.write("first ");
        co_await out.write("second");
        co_await out.end_stream();
        co_return;
    }
    if (http::path_of(message.target) == "/cut") {
        http::response_head head;
        head.status = 200;
        co_await out.begin_stream(std::move(head));
        co_await out.write("first ");
        out.abort();
        co_return;
    }
    if (http::path_of(message.target) == "/silent") {
        asio::steady_timer timer(co_await asio::this_coro::executor, 1s);
        co_await timer.async_wait(asio::use_awaitable);
    }
    http::response answer = http::json_response(200, message.body);
    co_await out.send(std::move(answer));
}

/// Sends raw bytes and returns what the server answers until it closes the connection.
std::string raw_exchange(const base::address& address, const std::string& bytes) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address_v4(address.ip), address.port});
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server)

// Guards against a body that is cut in the middle being taken for a whole one.
BOOST_AUTO_TEST_CASE(a_whole_body_is_told_from_a_cut_one) {
    loopback_server fixture(echo, plain_rejection, {});
    const base::result<http::response> whole = fixture.exchange(http::request{"GET", "/stream", {}, ""});
    BOOST_REQUIRE(whole.has_value());
    BOOST_TEST(whole->body == "first second");
    const base::result<http::response> cut = fixture.exchange(http::request{"GET", "/cut", {}, ""});
    BOOST_REQUIRE(!cut.has_value());
    BOOST_CHECK(cut.error().code == base::error_code::connection_broken);
}

// Guards against a connection whose response is still due being used for the next request.
BOOST_AUTO_TEST_CASE(a_timed_out_connection_is_not_reused) {
    loopback_server fixture(echo, plain_rejection, {});
    fixture.limits.head = 50ms;
    const base::result<http::response> late = fixture.exchange(http::request{"POST", "/silent", {}, "late"});
    BOOST_REQUIRE(!late.has_value());
    BOOST_CHECK(late.error().code == base::error_code::timed_out);
    fixture.limits.head = 2s;
    const base::result<http::response> next = fixture.exchange(http::request{"POST", "/echo", {}, "next"});
    BOOST_REQUIRE_MESSAGE(next.has_value(), (next.has_value() ? std::string() : next.error().message));
    BOOST_TEST(next->body == "next");
}

// Guards against large, malformed or slow requests being served or holding a connection open.
BOOST_AUTO_TEST_CASE(bad_requests_are_rejected_with_a_response) {
    http::server_limits limits;
    limits.body_bytes = 64;
    limits.arrival = 100ms;
    loopback_server fixture(echo, plain_rejection, limits);
    const std::string large =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x');
    BOOST_TEST(raw_exchange(fixture.address, large).starts_with("HTTP/1.1 413"));
    BOOST_TEST(raw_exchange(fixture.address, "nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    const std::string unfinished = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc";
    BOOST_TEST(raw_exchange(fixture.address, unfinished).starts_with("HTTP/1.1 400"));
    const std::string header = "GET / HTTP/1.1\r\nX-Long: " + std::string(20000, 'x') + "\r\n\r\n";
    BOOST_TEST(raw_exchange(fixture.address, header).starts_with("HTTP/1.1 413"));
}

// Guards against a planned stop cutting off a request that is being handled.
BOOST_AUTO_TEST_CASE(shut_down_finishes_the_request_at_hand) {
    loopback_server fixture(echo, plain_rejection, {});
    std::thread stop([&fixture]() {
        while (fixture.server->open_requests() == 0) {
            std::this_thread::yield();
        }
        fixture.server->shut_down();
    });
    const base::result<http::response> answer =
        fixture.exchange(http::request{"POST", "/silent", {}, "kept"});
    stop.join();
    BOOST_REQUIRE_MESSAGE(answer.has_value(), (answer.has_value() ? std::string() : answer.error().message));
    BOOST_TEST(answer->body == "kept");
    const base::result<http::response> refused = fixture.exchange(http::request{"POST", "/echo", {}, ""});
    BOOST_REQUIRE(!refused.has_value());
    BOOST_CHECK(refused.error().code == base::error_code::connection_refused);
}

// Guards against a field that one reader takes for the continuation of the field before and another
// one for a field of its own.
BOOST_AUTO_TEST_CASE(folded_header_lines_are_rejected) {
    loopback_server fixture(echo, plain_rejection, {});
    const std::string folded = "GET / HTTP/1.1\r\nHost: a\r\nX-One: a\r\n Content-Length: 5\r\n\r\n";
    BOOST_TEST(raw_exchange(fixture.address, folded).starts_with("HTTP/1.1 400"));
    const std::string tabbed = "GET / HTTP/1.1\r\nHost: a\r\nX-One: a\r\n\tb\r\n\r\n";
    BOOST_TEST(raw_exchange(fixture.address, tabbed).starts_with("HTTP/1.1 400"));
}

// Guards against a client that sends its header byte by byte and holds a connection for as long as a
// large body may take.
BOOST_AUTO_TEST_CASE(a_header_that_does_not_arrive_is_rejected_in_its_own_time) {
    http::server_limits limits;
    limits.header_arrival = 100ms;
    limits.arrival = 10s;
    loopback_server fixture(echo, plain_rejection, limits);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    BOOST_TEST(raw_exchange(fixture.address, "GET / HTTP/1.1\r\nHost: a\r\n").starts_with("HTTP/1.1 400"));
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

// Guards against limits that stay as they were when the server was started.
BOOST_AUTO_TEST_CASE(limits_may_change) {
    loopback_server fixture(echo, plain_rejection, {});
    const std::string body = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 65\r\n\r\n" +
                             std::string(65, 'x');
    BOOST_TEST(raw_exchange(fixture.address, body).starts_with("HTTP/1.1 200"));
    http::server_limits limits;
    limits.body_bytes = 64;
    fixture.server->set_limits(limits);
    BOOST_TEST(raw_exchange(fixture.address, body).starts_with("HTTP/1.1 413"));
}

// Guards against a stopping server that keeps connections open for further requests.
BOOST_AUTO_TEST_CASE(connections_end_after_the_response_at_hand) {
    loopback_server fixture(echo, plain_rejection, {});
    fixture.server->end_keep_alive();
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string answer = raw_exchange(fixture.address, request);
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

// Guards against a second request on a connection that is lost because it came while the first one
// was handled.
BOOST_AUTO_TEST_CASE(a_request_that_comes_early_is_kept) {
    loopback_server fixture(
        [](const http::request& message, http::responder& out) -> asio::awaitable<void> {
            out.on_departure([]() {});
            asio::steady_timer timer(co_await asio::this_coro::executor, 50ms);
            co_await timer.async_wait(asio::use_awaitable);
            http::response answer = http::json_response(200, message.target);
            co_await out.send(std::move(answer));
        },
        plain_rejection, {});
    const std::string both = "GET /one HTTP/1.1\r\nHost: a\r\n\r\n"
                             "GET /two HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    const std::string answers = raw_exchange(fixture.address, both);
    BOOST_TEST(answers.find("/one") < answers.find("/two"));
    BOOST_TEST(answers.find("/two") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
