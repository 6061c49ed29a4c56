#include "loopback.hpp"

#include <rattanbay/http.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace http = rattanbay::http;

namespace {

/// More sockets than the event loop takes at a time (128); it takes the expired timers after these.
constexpr std::size_t connections = 300;
/// Longer than opening the connections takes on a busy machine.
constexpr std::chrono::milliseconds read_time{2000};
constexpr std::chrono::milliseconds hold_time{2300};
/// Time after a request's arrival, or after the first part of its answer, at which the server goes on.
constexpr std::chrono::milliseconds answer_time{500};

http::response reject(const base::error&) {
    return http::json_response(400, "{}");
}

asio::awaitable<void> pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> answer_late(const http::request&, http::responder& out) {
    co_await pause(answer_time);
    http::response response = http::json_response(200, "{}");
    co_await out.send(std::move(response));
}

asio::awaitable<void> pause_in_body(const http::request&, http::responder& out) {
    http::response_header header{200, {}};
    co_await out.begin_stream(std::move(header));
    co_await out.write("first ");
    co_await pause(answer_time);
    co_await out.write("rest");
    co_await out.end_stream();
}

/// Many exchanges on one thread, which is held from the moment at which all of them wait for the server until
/// all answers have arrived and all timeouts have passed.
class many_exchanges {
public:
    explicit many_exchanges(const base::address& server)
        : server_(server) {}

    /// Performs the exchanges and returns how many of them ended with a whole answer.
    std::size_t run(bool hold_in_body) {
        for (std::size_t n = 0; n < connections; ++n) {
            asio::co_spawn(context_, exchange(hold_in_body), asio::detached);
        }
        context_.run();
        return answered_;
    }

private:
    asio::awaitable<void> exchange(bool hold_in_body) {
        base::result<std::unique_ptr<http::client_connection>> opened =
            co_await http::client_connection::connect(context_.get_executor(), server_, read_time);
        if (!opened) {
            co_return;
        }
        http::client_connection& connection = **opened;
        connection.begin_send(http::request{"GET", "/", {}, ""}, read_time);
        if (!hold_in_body) {
            wait_for_server();
        }
        const base::result<http::response_header> header = co_await connection.read_header(read_time);
        if (!header) {
            co_return;
        }
        std::string body;
        if (hold_in_body) {
            base::result<std::string> first = co_await connection.read_some(read_time);
            body = first.value_or("");
            wait_for_server();
        }
        const base::result<std::string> rest = co_await http::read_body(connection, read_time, 1024);
        answered_ += rest && (hold_in_body ? body + *rest == "first rest" : *rest == "{}") ? 1 : 0;
    }

    void wait_for_server() {
        if (++waiting_ < connections) {
            return;
        }
        // A timer that expires before the answers arrive, so that the thread finds its timers expired before
        // their sockets.
        const std::shared_ptr<asio::steady_timer> timer =
            std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(1));
        timer->async_wait([timer](const boost::system::error_code&) {});
        asio::post(context_, []() { std::this_thread::sleep_for(hold_time); });
    }

    base::address server_;
    asio::io_context context_;
    std::size_t waiting_ = 0;
    std::size_t answered_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(held_client)

// Guards against an answer that has arrived while the thread was held and is taken for a timeout.
BOOST_AUTO_TEST_CASE(answers_that_arrived_before_the_timeout_are_read) {
    loopback_server fixture(answer_late, reject, {});
    many_exchanges client(fixture.address);
    BOOST_TEST(client.run(false) == connections);
}

// Guards against the rest of an answer that has arrived while the thread was held and is taken for a timeout.
BOOST_AUTO_TEST_CASE(bodies_that_arrived_before_the_timeout_are_read) {
    loopback_server fixture(pause_in_body, reject, {});
    many_exchanges client(fixture.address);
    BOOST_TEST(client.run(true) == connections);
}

// Guards against a read that never ends although nothing arrives.
BOOST_AUTO_TEST_CASE(a_silent_server_is_still_detected) {
    static constexpr std::chrono::milliseconds short_time{100};
    asio::io_context context;
    // Connections stay in the accept queue of this socket; nothing reads from them.
    asio::ip::tcp::acceptor silent(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const base::address address{{127, 0, 0, 1}, silent.local_endpoint().port()};
    std::optional<base::error> failure;
    asio::co_spawn(
        context,
        [&context, &address, &failure]() -> asio::awaitable<void> {
            base::result<std::unique_ptr<http::client_connection>> opened =
                co_await http::client_connection::connect(context.get_executor(), address, read_time);
            (*opened)->begin_send(http::request{"GET", "/", {}, ""}, read_time);
            const base::result<http::response_header> header = co_await (*opened)->read_header(short_time);
            failure = header ? std::nullopt : std::optional(header.error());
        },
        asio::detached);
    context.run_for(hold_time);
    BOOST_REQUIRE(failure.has_value());
    BOOST_CHECK(failure->code == base::error_code::timed_out);
}

BOOST_AUTO_TEST_SUITE_END()
