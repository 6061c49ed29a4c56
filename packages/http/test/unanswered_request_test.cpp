#include "loopback.hpp"

#include <rattanbay/http.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <mutex>
#include <optional>
#include <stdexcept>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace http = rattanbay::http;
using namespace std::chrono_literals;

namespace {

http::response reject_all(const base::error& reason) {
    return http::json_response(reason.code == base::error_code::unavailable ? 500 : 400, "{}");
}

/// What a report contained.
struct report {
    http::unanswered_reason reason;
    std::string target;
    std::uint64_t sent_bytes;
};

/// Collects the reports of a server.
class report_log {
public:
    http::unanswered_handler handler() {
        return [this](const http::unanswered_request& request) {
            const std::lock_guard<std::mutex> lock(mutex_);
            reports_.push_back({request.reason, request.message == nullptr ? "" : request.message->target,
                                request.sent_bytes});
        };
    }

    /// Waits up to 2 s for the first report.
    std::optional<report> first() const {
        for (int n = 0; n < 200; ++n) {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                if (!reports_.empty()) {
                    return reports_.front();
                }
            }
            std::this_thread::sleep_for(10ms);
        }
        return std::nullopt;
    }

    std::size_t size() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return reports_.size();
    }

private:
    mutable std::mutex mutex_;
    std::vector<report> reports_;
};

asio::awaitable<void> serve(const http::request& message, http::responder& out) {
    if (message.target == "/ignored") {
        co_return;
    }
    if (message.target == "/cut") {
        http::response_header header;
        header.status = 200;
        co_await out.begin_stream(std::move(header));
        co_await out.write("first");
        out.abort();
        co_return;
    }
    if (message.target == "/throw") {
        out.on_disconnect([]() {});
        throw std::runtime_error("thrown by the handler");
    }
    if (message.target == "/throw-late") {
        http::response_header header;
        header.status = 200;
        co_await out.begin_stream(std::move(header));
        throw std::runtime_error("thrown by the handler");
    }
    if (message.target == "/slow") {
        asio::steady_timer timer(co_await asio::this_coro::executor, 200ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
    http::response response = http::json_response(200, "{}");
    co_await out.send(std::move(response));
}

asio::ip::tcp::socket connect_and_send(asio::io_context& context, const base::address& address,
                                       const std::string& bytes) {
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address_v4(address.ip), address.port});
    asio::write(socket, asio::buffer(bytes));
    return socket;
}

std::string request_for(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(unanswered_requests)

// Guards against a connection that ends without an answer and leaves no trace of its reason.
BOOST_AUTO_TEST_CASE(a_request_without_a_complete_response_is_reported) {
    const std::vector<std::pair<std::string, http::unanswered_reason>> cases{
        {"/ignored", http::unanswered_reason::no_response}, {"/cut", http::unanswered_reason::aborted}};
    for (const auto& row : cases) {
        report_log log;
        loopback_server fixture(serve, reject_all, {}, log.handler());
        asio::io_context context;
        asio::ip::tcp::socket client = connect_and_send(context, fixture.address, request_for(row.first));
        const std::optional<report> found = log.first();
        BOOST_REQUIRE(found.has_value());
        BOOST_TEST(base::to_name(found->reason) == base::to_name(row.second));
        BOOST_TEST(found->target == row.first);
        BOOST_TEST((found->sent_bytes > 0) == (row.first == "/cut"));
    }
}

// Guards against clients that leave being taken for failures of the server.
BOOST_AUTO_TEST_CASE(a_client_that_leaves_is_reported_as_such) {
    for (const std::string& sent : {request_for("/slow"), std::string("GET /part HTTP/1.1\r\nHo")}) {
        report_log log;
        loopback_server fixture(serve, reject_all, {}, log.handler());
        asio::io_context context;
        asio::ip::tcp::socket client = connect_and_send(context, fixture.address, sent);
        std::this_thread::sleep_for(50ms);
        client.set_option(asio::socket_base::linger(true, 0));
        client.close();
        const std::optional<report> found = log.first();
        BOOST_REQUIRE(found.has_value());
        BOOST_TEST(base::to_name(found->reason) == "client_closed");
    }
}

// Guards against reports of requests that were answered or rejected.
BOOST_AUTO_TEST_CASE(an_answered_request_is_not_reported) {
    report_log log;
    {
        loopback_server fixture(serve, reject_all, {}, log.handler());
        asio::io_context context;
        for (const std::string& sent : {request_for("/"), std::string("nonsense\r\n\r\n")}) {
            asio::ip::tcp::socket client = connect_and_send(context, fixture.address, sent);
            std::array<char, 64> data{};
            BOOST_TEST(client.read_some(asio::buffer(data)) > 0U);
        }
        std::this_thread::sleep_for(100ms);
    }
    BOOST_TEST(log.size() == 0U);
}

// Guards against an exception in a handler that closes the connection with no answer, leaves the request
// counted as open, so that a planned stop waits for it in vain, and leaves a read of the connection behind.
BOOST_AUTO_TEST_CASE(an_exception_in_a_handler_is_answered) {
    report_log log;
    loopback_server fixture(serve, reject_all, {}, log.handler());
    asio::io_context context;
    asio::ip::tcp::socket client = connect_and_send(context, fixture.address, request_for("/throw"));
    std::string answer;
    boost::system::error_code ec;
    asio::read(client, asio::dynamic_buffer(answer), ec);
    BOOST_TEST(answer.starts_with("HTTP/1.1 500"), answer);
    const std::optional<report> found = log.first();
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(base::to_name(found->reason) == "handler_failed");
    std::this_thread::sleep_for(50ms);
    BOOST_TEST(fixture.server->open_requests() == 0U);
    BOOST_TEST(fixture.server->open_connections() == 0U);
}

// Guards against a truncated stream that looks complete because its handler failed midway.
BOOST_AUTO_TEST_CASE(an_exception_in_a_stream_truncates_it) {
    report_log log;
    loopback_server fixture(serve, reject_all, {}, log.handler());
    const base::result<http::response> response =
        fixture.exchange(http::request{"GET", "/throw-late", {}, ""});
    BOOST_TEST(!response.has_value());
    const std::optional<report> found = log.first();
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(base::to_name(found->reason) == "handler_failed");
}

BOOST_AUTO_TEST_SUITE_END()
