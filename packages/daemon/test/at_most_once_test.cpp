#include "test_cluster.hpp"

#include <rattanbay/ledger.hpp>
#include <rattanbay/peer.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;
namespace ledger = rattanbay::ledger;
namespace peer = rattanbay::peer;
using nlohmann::json;

namespace {

const std::string booking = R"({"input":{"flight":"PK301","meals":180}})";

json json_body(const base::result<http::response>& answer) {
    BOOST_REQUIRE_MESSAGE(answer.has_value(), (answer.has_value() ? std::string() : answer.error().message));
    return json::parse(answer->body);
}

/// Owner of a key that replies to a forwarded request when the time that it was given ends. The request and
/// the reply take a while on their way.
void reply_at_end_of_time(asio::ip::tcp::acceptor& owner, const std::string& secret) {
    constexpr std::chrono::milliseconds way{10};
    boost::system::error_code ec;
    asio::ip::tcp::socket socket = owner.accept(ec);
    std::string header(peer::frame_header_bytes, '\0');
    asio::read(socket, asio::buffer(header), ec);
    const base::result<std::size_t> size = peer::frame_size(header);
    std::string body(ec || !size ? 0 : *size, '\0');
    asio::read(socket, asio::buffer(body), ec);
    const base::result<peer::frame> message = peer::decode_frame(body, secret);
    const peer::forward_request* const request =
        message ? std::get_if<peer::forward_request>(&*message) : nullptr;
    if (request == nullptr) {
        return;
    }
    std::this_thread::sleep_for(way + std::chrono::milliseconds(request->time_left_ms) + way);
    const peer::forward_reply reply{base::problem{base::problem_kind::overloaded, base::outcome::not_run,
                                                  "reply of the owner", std::nullopt}};
    asio::write(socket, asio::buffer(peer::encode(peer::frame(reply), secret)), ec);
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

// Guards against a booking that runs again when it is resent to the same VM or another one.
BOOST_AUTO_TEST_CASE(a_resent_booking_gets_the_first_answer) {
    test_cluster cluster(3);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    const std::string key = cluster.key_prefix(0, 1) + ".booking-0001";
    const json first = json_body(cluster.run(0, "book", booking, key));
    BOOST_TEST(first.contains("output"));
    BOOST_CHECK(json_body(cluster.run(0, "book", booking, key)) == first);
    BOOST_CHECK(json_body(cluster.run(1, "book", booking, key)) == first);
    BOOST_TEST(cluster.run(2, "book", R"({"input":{"flight":"PK302"}})", key)->status == 422);
    BOOST_TEST(cluster.executions("booking-0001") == 1U);
}

// Guards against a booking that runs twice when it arrives at two VMs concurrently.
BOOST_AUTO_TEST_CASE(a_booking_at_two_daemons_at_once_runs_once) {
    test_cluster cluster(3);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    const std::string prefix = cluster.key_prefix(1, 0);
    for (int n = 0; n < 20; ++n) {
        const std::string key_suffix = "together-" + std::to_string(n);
        base::result<http::response> first_response = base::fail(base::error_code::unavailable, "not sent");
        base::result<http::response> second_response = base::fail(base::error_code::unavailable, "not sent");
        std::thread first(
            [&]() { first_response = cluster.run(0, "book", booking, prefix + "." + key_suffix); });
        std::thread second(
            [&]() { second_response = cluster.run(2, "book", booking, prefix + "." + key_suffix); });
        first.join();
        second.join();
        BOOST_CHECK(json_body(first_response).at("output") == json_body(second_response).at("output"));
        BOOST_TEST(cluster.executions(key_suffix) == 1U);
    }
}

// Guards against a booking that runs again, or whose answer is lost, if it is resent after its owner died.
BOOST_AUTO_TEST_CASE(a_resend_after_the_owners_death_gets_the_recorded_answer) {
    test_cluster cluster(3);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    const std::string prefix = cluster.key_prefix(0, 1);
    const json first = json_body(cluster.run(0, "book", booking, prefix + ".booking-0002"));
    // The answer is written by a later group commit. The commit interval is 20 ms.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    cluster.destroy_daemon(0);
    BOOST_CHECK(json_body(cluster.run(1, "book", booking, prefix + ".booking-0002")) == first);
    const json unseen = json_body(cluster.run(1, "book", booking, prefix + ".booking-0003"));
    BOOST_TEST(unseen.at("outcome") == "not_run");
    BOOST_TEST(cluster.executions("booking-0002") == 1U);
    BOOST_TEST(cluster.executions("booking-0003") == 0U);
    // A replacement at the same address is a new incarnation and does not run keys of the old one.
    cluster.start_daemon(0);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    BOOST_TEST(json_body(cluster.run(0, "book", booking, prefix + ".booking-0003")).at("outcome") ==
               "not_run");
    BOOST_TEST(cluster.executions("booking-0003") == 0U);
}

// Guards against bookings being refused for good while the platform is down, and against a false `not_run`.
BOOST_AUTO_TEST_CASE(bookings_go_on_while_the_platform_is_down) {
    test_cluster cluster(3);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    const std::string recorded = cluster.key_prefix(0, 0);
    cluster.platform->set_fault({emulator::platform_fault_mode::down, {}});
    const json refused = json_body(cluster.run(0, "book", booking, recorded + ".outage-0001"));
    BOOST_TEST(refused.at("outcome") == "not_run");
    const std::string unrecorded = refused.at("retry_key_prefix").get<std::string>();
    const json first = json_body(cluster.run(0, "book", booking, unrecorded + ".outage-0002"));
    BOOST_TEST(first.contains("output"));
    BOOST_CHECK(json_body(cluster.run(1, "book", booking, unrecorded + ".outage-0002")) == first);
    cluster.destroy_daemon(0);
    BOOST_TEST(json_body(cluster.run(1, "book", booking, unrecorded + ".outage-0002")).at("outcome") ==
               "unknown");
    BOOST_TEST(json_body(cluster.run(1, "book", booking, unrecorded + ".outage-0003")).at("outcome") ==
               "unknown");
    cluster.platform->set_fault({emulator::platform_fault_mode::none, {}});
    BOOST_TEST(test_cluster::wait_until([&cluster, &unrecorded]() {
        const base::result<http::response> answer =
            cluster.run(1, "book", booking, unrecorded + ".outage-0002");
        return answer && json::parse(answer->body).at("outcome") == "unknown";
    }));
    BOOST_TEST(cluster.executions("outage-0001") == 0U);
    BOOST_TEST(cluster.executions("outage-0002") == 1U);
}

// Guards against a second attempt after the endpoint's response was truncated.
BOOST_AUTO_TEST_CASE(a_cut_answer_is_unknown_and_not_repeated) {
    test_cluster cluster(2);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    for (const std::unique_ptr<emulator::plain_service>& desk : cluster.desks) {
        desk->set_fault({emulator::endpoint_fault_mode::cut, {}, 1.0});
    }
    const std::string key = cluster.key_prefix(0, 0) + ".cut-0001";
    BOOST_TEST(json_body(cluster.run(0, "book", booking, key)).at("outcome") == "unknown");
    for (const std::unique_ptr<emulator::plain_service>& desk : cluster.desks) {
        desk->set_fault({emulator::endpoint_fault_mode::none, {}, 0.0});
    }
    BOOST_TEST(json_body(cluster.run(1, "book", booking, key)).at("outcome") == "unknown");
    BOOST_TEST(cluster.executions("cut-0001") == 1U);
}

// Guards against sealing the record of a live owner whose reply comes at the end of the time that it was
// given: the request and its reply take a while on their way.
BOOST_AUTO_TEST_CASE(a_reply_at_the_end_of_the_owners_time_is_received) {
    test_cluster cluster(1);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    const std::string secret = cluster.settings_of(0).cluster_secret;
    asio::io_context context;
    asio::ip::tcp::acceptor owner(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    std::thread replying([&owner, &secret]() { reply_at_end_of_time(owner, secret); });
    ledger::key_prefix prefix;
    prefix.peer_address = base::address{{127, 0, 0, 1}, owner.local_endpoint().port()};
    http::request message{"POST", "/v1/pipelines/book/runs", {}, booking};
    message.fields = {{"Authorization", "Bearer planner-token"},
                      {"Idempotency-Key", prefix.signed_text(secret) + ".slow-0001"},
                      {"X-Request-Deadline-Ms", "4000"}};
    const base::result<http::response> answer = cluster.exchange(cluster.caller_address(0), message);
    // Ends the thread if the request was not forwarded.
    boost::system::error_code ignored;
    asio::ip::tcp::socket(context).connect(owner.local_endpoint(), ignored);
    replying.join();
    BOOST_TEST(json_body(answer).at("detail") == "reply of the owner");
}

BOOST_AUTO_TEST_SUITE_END()
