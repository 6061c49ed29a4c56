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

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace http = rattanbay::http;
using namespace std::chrono_literals;

namespace {

http::response reject_all(const base::error&) {
    return http::json_response(400, "{}");
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

BOOST_AUTO_TEST_SUITE_END()
