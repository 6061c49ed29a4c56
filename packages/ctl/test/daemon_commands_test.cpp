#include "command_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace http = rattanbay::http;
using nlohmann::json;

namespace {

std::string event(int wall_us, const std::string& vm, const std::string& name) {
    return json{{"wall_us", wall_us}, {"vm", vm},      {"incarnation", "ab"},
                {"request", "r-1"},   {"event", name}, {"fields", {{"stage", "encode"}}}}
        .dump();
}

} // namespace

BOOST_AUTO_TEST_SUITE(daemon_commands)

// Guards against events out of order, and against omitting a daemon that did not respond.
BOOST_AUTO_TEST_CASE(timelines_are_merged_by_wall_time) {
    command_fixture fixture;
    fixture.servers["127.0.1.1:9000"] = [](const command_fixture::request&) {
        return http::json_response(200, R"({"events":[)" + event(1, "a", "arrived") + "," +
                                            event(3, "a", "sent") + "]}");
    };
    fixture.servers["127.0.1.2:9000"] = [](const command_fixture::request&) {
        return http::json_response(200, R"({"events":[)" + event(2, "b", "forwarded") + "]}");
    };
    const command_fixture::output merged =
        fixture.run({"timeline", "--request", "r 1", "127.0.1.1:9000", "127.0.1.2:9000"});
    BOOST_TEST(merged.code == 0);
    BOOST_TEST(merged.out ==
               "time                         vm  incarnation  request  event      fields\n"
               "1970-01-01T00:00:00.000001Z  a   ab           r-1      arrived    stage=encode\n"
               "1970-01-01T00:00:00.000002Z  b   ab           r-1      forwarded  stage=encode\n"
               "1970-01-01T00:00:00.000003Z  a   ab           r-1      sent       stage=encode\n");
    BOOST_TEST(fixture.requests.front() == "127.0.1.1:9000 GET /v1/timeline?request=r%201");
    const command_fixture::output partial = fixture.run(
        {"timeline", "--json", "--since-ms", "5", "--until-ms", "9", "127.0.1.1:9000", "127.0.1.3:9000"});
    BOOST_TEST(partial.code == 3);
    BOOST_TEST(json::parse(partial.out)["missing"][0]["address"] == "127.0.1.3:9000");
    BOOST_TEST(json::parse(partial.out)["events"].size() == 2U);
    BOOST_TEST(fixture.run({"timeline", "--since-ms", "5", "127.0.1.1:9000"}).code == 2);
}

// Guards against lost or reordered fields of the status.
BOOST_AUTO_TEST_CASE(status_prints_the_fields_as_they_come) {
    command_fixture fixture;
    fixture.servers["127.0.1.1:9000"] = [](const command_fixture::request&) {
        return http::json_response(200, R"({"revision": 3, "load": {"running": 2}, "ready": true})");
    };
    const command_fixture::output shown = fixture.run({"status", "127.0.1.1:9000", "127.0.1.2:9000"});
    BOOST_TEST(shown.code == 3);
    BOOST_TEST(shown.out == "127.0.1.1:9000\n  revision: 3\n  load.running: 2\n  ready: true\n"
                            "127.0.1.2:9000: refused\n");
}

// Guards against reporting "not draining" when the daemon may have received the request but its response
// was lost.
BOOST_AUTO_TEST_CASE(drain_distinguishes_refused_from_unknown) {
    command_fixture fixture;
    BOOST_TEST(fixture.run({"drain", "127.0.1.1:9000"}).code == 3);
    command_fixture::answer next = http::json_response(202, "");
    fixture.servers["127.0.1.1:9000"] = [&next](const command_fixture::request&) { return next; };
    BOOST_TEST(fixture.run({"drain", "127.0.1.1:9000"}).out == "127.0.1.1:9000: draining\n");
    next = base::fail(base::error_code::timed_out, "no answer");
    BOOST_TEST(fixture.run({"drain", "127.0.1.1:9000"}).code == 4);
    next = http::json_response(403, R"({"title": "not allowed"})");
    BOOST_TEST(fixture.run({"drain", "127.0.1.1:9000"}).code == 1);
    BOOST_TEST(fixture.requests.back() == "127.0.1.1:9000 POST /v1/drain");
}

BOOST_AUTO_TEST_SUITE_END()
