#include <rattanbay/http.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace http = rattanbay::http;
using namespace std::chrono_literals;

namespace {

/// Accepts one connection and hands it to `serve`, which may break the protocol.
class raw_server {
public:
    explicit raw_server(std::function<void(asio::ip::tcp::socket&)> serve)
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this, serve = std::move(serve)]() {
            asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            serve(socket);
        }) {}

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    ~raw_server() { thread_.join(); }

    base::address address() const { return {{127, 0, 0, 1}, acceptor_.local_endpoint().port()}; }

private:
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

void read_header(asio::ip::tcp::socket& socket) {
    std::string header;
    boost::system::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(header), "\r\n\r\n", ec);
}

/// What a client sees of an exchange with a request that has a body of this size.
struct seen {
    int status = 0;
    bool reusable = false;
};

asio::awaitable<seen> exchange(base::address address, std::size_t body_bytes) {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    base::result<std::unique_ptr<http::client_connection>> opened =
        co_await http::client_connection::connect(executor, address, 1s);
    seen out;
    if (!opened) {
        co_return out;
    }
    http::request message{"POST", "/", {}, std::string(body_bytes, 'x')};
    (*opened)->begin_send(std::move(message), 3s);
    const base::result<http::response_head> head = co_await (*opened)->read_head(2s);
    if (head) {
        out.status = head->status;
        const base::result<std::string> body = co_await http::read_body(**opened, 1s, 1000);
        out.reusable = body.has_value() && (*opened)->reusable();
    }
    co_return out;
}

seen run(const base::address& address, std::size_t body_bytes) {
    asio::io_context context;
    std::future<seen> result = asio::co_spawn(context, exchange(address, body_bytes), asio::use_future);
    context.run();
    return result.get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(early_answer)

// Guards against an exchange that waits for the end of a long body while the server has answered and
// reads no further, and against a connection that is used again where the rest of the body is due.
BOOST_AUTO_TEST_CASE(an_answer_before_the_end_of_the_body_is_read) {
    std::promise<void> answered;
    raw_server server([&answered](asio::ip::tcp::socket& socket) {
        read_header(socket);
        const std::string answer = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
        asio::write(socket, asio::buffer(answer));
        answered.get_future().wait();
    });
    const seen out = run(server.address(), 64 * 1024 * 1024);
    answered.set_value();
    BOOST_TEST(out.status == 503);
    BOOST_TEST(!out.reusable);
}

// Guards against a connection that is given up after a usual exchange.
BOOST_AUTO_TEST_CASE(a_connection_whose_request_was_read_whole_can_be_used_again) {
    std::promise<void> answered;
    raw_server server([&answered](asio::ip::tcp::socket& socket) {
        read_header(socket);
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        asio::write(socket, asio::buffer(answer));
        answered.get_future().wait();
    });
    const seen out = run(server.address(), 10);
    answered.set_value();
    BOOST_TEST(out.status == 200);
    BOOST_TEST(out.reusable);
}

// Guards against an idle connection that is used though an answer to nobody has come in on it.
BOOST_AUTO_TEST_CASE(a_connection_with_an_extra_answer_is_not_quiet) {
    std::promise<void> sent;
    std::promise<void> checked;
    raw_server server([&](asio::ip::tcp::socket& socket) {
        read_header(socket);
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        asio::write(socket, asio::buffer(answer));
        sent.get_future().wait();
        asio::write(socket, asio::buffer(answer));
        checked.get_future().wait();
    });
    asio::io_context context;
    std::unique_ptr<http::client_connection> connection;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const asio::any_io_executor executor = co_await asio::this_coro::executor;
            base::result<std::unique_ptr<http::client_connection>> opened =
                co_await http::client_connection::connect(executor, server.address(), 1s);
            connection = std::move(*opened);
            http::request message{"GET", "/", {}, ""};
            co_await connection->send(std::move(message), 1s);
            co_await connection->read_head(1s);
            co_await http::read_body(*connection, 1s, 1000);
        },
        asio::use_future);
    context.run();
    BOOST_TEST(connection->quiet());
    sent.set_value();
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(!connection->quiet());
    checked.set_value();
}

BOOST_AUTO_TEST_SUITE_END()
