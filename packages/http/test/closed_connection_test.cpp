#include "loopback.hpp"

#include <rattanbay/http.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <mutex>
#include <optional>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace http = rattanbay::http;
using namespace std::chrono_literals;

namespace {

http::response reject(const base::error&) {
    return http::json_response(400, "{}");
}

asio::awaitable<void> serve(const http::request&, http::responder& out) {
    http::response response = http::json_response(200, "{}");
    co_await out.send(std::move(response));
}

/// Collects the closed connections of a server.
class close_log {
public:
    http::close_handler handler() {
        return [this](const http::closed_connection& connection) {
            const std::lock_guard<std::mutex> lock(mutex_);
            connections_.push_back(connection);
        };
    }

    /// Waits up to 5 s for the first connection.
    std::optional<http::closed_connection> first() const {
        for (int n = 0; n < 500; ++n) {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                if (!connections_.empty()) {
                    return connections_.front();
                }
            }
            std::this_thread::sleep_for(10ms);
        }
        return std::nullopt;
    }

private:
    mutable std::mutex mutex_;
    std::vector<http::closed_connection> connections_;
};

/// Sends bytes and waits for the end of the response.
asio::ip::tcp::socket connect_and_exchange(asio::io_context& context, const base::address& address,
                                           const std::string& bytes) {
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address_v4(address.ip), address.port});
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    asio::read_until(socket, asio::dynamic_buffer(received), "{}");
    return socket;
}

const std::string get_request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(closed_connections)

// Guards against an idle connection that is closed without a trace of the limit that closed it.
BOOST_AUTO_TEST_CASE(an_idle_connection_is_reported_with_its_limits) {
    http::server_limits limits;
    limits.idle_timeout = 100ms;
    close_log log;
    loopback_server fixture(serve, reject, limits, {}, log.handler());
    asio::io_context context;
    const asio::ip::tcp::socket client = connect_and_exchange(context, fixture.address, get_request);
    const std::optional<http::closed_connection> closed = log.first();
    BOOST_REQUIRE(closed.has_value());
    BOOST_TEST(base::to_name(closed->reason) == "idle");
    BOOST_TEST(closed->requests == 1U);
    BOOST_TEST((closed->idle_time >= 100ms));
    BOOST_TEST((closed->first_idle_timeout == 100ms));
    BOOST_TEST((closed->last_idle_timeout == 100ms));
    BOOST_TEST(closed->unread_bytes == 0U);
}

// Guards against ends of connections that can't be told apart.
BOOST_AUTO_TEST_CASE(other_ends_are_reported_by_their_reason) {
    const std::vector<std::pair<std::string, std::string>> cases{
        {"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "after_response"},
        {"nonsense\r\n\r\n", "rejected"}};
    for (const std::pair<std::string, std::string>& row : cases) {
        close_log log;
        loopback_server fixture(serve, reject, {}, {}, log.handler());
        asio::io_context context;
        const asio::ip::tcp::socket client = connect_and_exchange(context, fixture.address, row.first);
        const std::optional<http::closed_connection> closed = log.first();
        BOOST_REQUIRE(closed.has_value());
        BOOST_TEST(base::to_name(closed->reason) == row.second);
    }
    for (const std::string& reason : {std::string("client"), std::string("shut_down")}) {
        close_log log;
        loopback_server fixture(serve, reject, {}, {}, log.handler());
        asio::io_context context;
        asio::ip::tcp::socket client = connect_and_exchange(context, fixture.address, get_request);
        if (reason == "client") {
            client.close();
        } else {
            fixture.server->shut_down();
        }
        const std::optional<http::closed_connection> closed = log.first();
        BOOST_REQUIRE(closed.has_value());
        BOOST_TEST(base::to_name(closed->reason) == reason);
    }
}

BOOST_AUTO_TEST_SUITE_END()
