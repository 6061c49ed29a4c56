#include <rattanbay/ctl.hpp>
#include <rattanbay/http/server.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace http = rattanbay::http;

namespace {

base::address free_address() {
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return {{127, 0, 0, 1}, acceptor.local_endpoint().port()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(network_io)

// Guards against sending a conditional write again when its response is lost: the second write would fail
// its condition and hide that the first took effect.
BOOST_AUTO_TEST_CASE(a_request_is_sent_once) {
    const base::address address = free_address();
    const std::unique_ptr<rattanbay::ctl::command_io> io = rattanbay::ctl::make_network_io();
    const http::request message{"PUT", "/v1/objects/documents/trial", {}, "{}"};
    const base::result<http::response> refused = io->exchange(address, message, {});
    BOOST_REQUIRE(!refused.has_value());
    BOOST_CHECK(refused.error().code == base::error_code::connection_refused);

    std::atomic<int> received = 0;
    asio::io_context context;
    const http::request_handler handle = [&received](const http::request&,
                                                     http::responder& out) -> asio::awaitable<void> {
        if (++received > 1) {
            out.abort();
            co_return;
        }
        http::response answer = http::json_response(200, "{}");
        co_await out.send(std::move(answer));
    };
    const http::rejection_handler reject = [](const base::error&) { return http::json_response(400, "{}"); };
    const std::shared_ptr<http::server> server =
        http::server::listen(context, address, handle, reject, {}).value();
    std::thread thread([&context]() { context.run(); });
    const base::result<http::response> complete = io->exchange(address, message, {});
    const base::result<http::response> aborted = io->exchange(address, message, {});
    context.stop();
    thread.join();
    BOOST_TEST(complete.has_value());
    BOOST_TEST(!aborted.has_value());
    BOOST_TEST(received == 2);
}

BOOST_AUTO_TEST_SUITE_END()
