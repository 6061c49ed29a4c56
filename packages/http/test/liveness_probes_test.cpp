#include <rattanbay/emulator/connection_loss.hpp>
#include <rattanbay/http.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;
namespace utf = boost::unit_test;

namespace {

constexpr std::chrono::seconds request_timeout{8};
/// Several probe intervals, and much shorter than the timeout.
constexpr std::chrono::seconds max_detection_time{4};

/// Server whose process is replaced after it has read a request and sent `answer`: the connection is lost
/// without a notice, while the port stays open.
class replaced_server {
public:
    explicit replaced_server(std::string answer)
        : acceptor_(context_, {asio::ip::make_address_v4("127.0.0.1"), 0})
        , thread_([this, answer = std::move(answer)]() { serve(answer); }) {}

    replaced_server(const replaced_server&) = delete;
    replaced_server& operator=(const replaced_server&) = delete;

    ~replaced_server() { thread_.join(); }

    base::address address() const { return {{127, 0, 0, 1}, acceptor_.local_endpoint().port()}; }

private:
    void serve(const std::string& answer) {
        asio::ip::tcp::socket socket = acceptor_.accept();
        std::string received;
        asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
        asio::write(socket, asio::buffer(answer));
        BOOST_TEST(emulator::lose_connections(address()) == 1U);
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

/// Sends a request and returns the error with which it ends, and the time until then.
std::pair<base::error, std::chrono::steady_clock::duration> exchange_with(const base::address& server) {
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    asio::io_context context;
    base::result<http::response> result = base::fail(base::error_code::unavailable, "not run");
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http::exchange_limits limits;
            limits.response_header = request_timeout;
            limits.body_read = request_timeout;
            http::request message{"GET", "/", {}, ""};
            result = co_await http::exchange_once(context.get_executor(), server, std::move(message), limits);
        },
        asio::detached);
    context.run();
    BOOST_REQUIRE(!result.has_value());
    return {result.error(), std::chrono::steady_clock::now() - start};
}

boost::test_tools::assertion_result has_permission(utf::test_unit_id) {
    boost::test_tools::assertion_result out(emulator::can_lose_connections());
    out.message() << "losing a connection without a notice needs CAP_NET_ADMIN";
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(liveness_probes)

// Guards against waiting for the whole timeout on a connection that the server lost without closing it, for
// example because its process crashed and was started again.
BOOST_AUTO_TEST_CASE(a_connection_that_its_server_lost_is_broken, *utf::precondition(has_permission)) {
    for (const char* const answer : {"", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"}) {
        const replaced_server server(answer);
        const auto [error, took] = exchange_with(server.address());
        BOOST_CHECK(error.code == base::error_code::connection_broken);
        BOOST_CHECK(took < max_detection_time);
    }
}

// Guards against probes that give up a sound machine, which may be silent or cut off for a second or so.
BOOST_AUTO_TEST_CASE(a_short_silence_breaks_no_connection) {
    constexpr std::chrono::seconds tolerated_silence{3};
    // The silence may begin just before the first probe.
    BOOST_CHECK(http::probe_interval * (http::max_unanswered_probes - 1) >= tolerated_silence);
}

BOOST_AUTO_TEST_SUITE_END()
