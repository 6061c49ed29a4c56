#include "fixture.hpp"

#include <rattanbay/emulator.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;
using namespace std::chrono_literals;

namespace {

struct fixture : loopback {
    fixture() {
        options.address = free_address();
        options.vm_list_lag = 200ms;
        service = emulator::platform_service::start(context, options).value();
    }

    std::pair<int, nlohmann::json> call(const std::string& method, const std::string& target,
                                        const std::string& body = "", http::fields fields = {}) {
        return loopback::call(options.address, method, target, body, std::move(fields));
    }

    std::pair<int, nlohmann::json> create(const std::string& name, const std::string& value) {
        return call("PUT", "/v1/objects/documents/" + name, value, {{"If-None-Match", "*"}});
    }

    emulator::platform_options options;
    std::unique_ptr<emulator::platform_service> service;
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_service)

// Guards against an emulated platform that violates the protocol of the design page.
BOOST_FIXTURE_TEST_CASE(objects_follow_the_protocol, fixture) {
    BOOST_TEST(call("GET", "/v1/objects/documents/trial").first == 404);
    const auto [created, body] = create("trial", R"({"a":1})");
    BOOST_TEST(created == 200);
    const std::string version = std::to_string(body["version"].get<std::uint64_t>());
    const auto [status, object] = call("GET", "/v1/objects/documents/trial");
    BOOST_TEST(status == 200);
    BOOST_TEST(object["value"]["a"] == 1);
    BOOST_TEST(create("trial", "2").first == 412);
    BOOST_TEST(call("PUT", "/v1/objects/documents/trial", "2").first == 428);
    BOOST_TEST(call("PUT", "/v1/objects/documents/trial", "{", {{"If-Match", version}}).first == 400);
    BOOST_TEST(call("GET", "/v1/objects/documents").second["objects"][0]["name"] == "trial");
    BOOST_TEST(call("DELETE", "/v1/objects/documents/trial", "", {{"If-Match", "0"}}).first == 412);
    BOOST_TEST(call("DELETE", "/v1/objects/documents/trial", "", {{"If-Match", version}}).first == 200);
    BOOST_TEST(call("DELETE", "/v1/objects/documents/trial", "", {{"If-Match", version}}).first == 404);
    const std::string large(emulator::platform_service::max_value_bytes + 1, ' ');
    BOOST_TEST(create("large", large).first == 413);
    BOOST_TEST(service->calls().at("read") == 2);
}

// Guards against a watch that misses a change or returns without one.
BOOST_FIXTURE_TEST_CASE(a_watch_waits_for_a_change, fixture) {
    const std::uint64_t version = create("trial", "1").second["version"].get<std::uint64_t>();
    const std::string target = "/v1/watch/documents/trial?after=" + std::to_string(version);
    BOOST_TEST(call("GET", target + "&wait_ms=20").first == 204);
    limits.response_header = 10s;
    auto waiting = begin(options.address, http::request{"GET", target + "&wait_ms=9000", {}, ""});
    while (service->calls()["watch"] < 2) {
        std::this_thread::yield();
    }
    call("PUT", "/v1/objects/documents/trial", "2", {{"If-Match", std::to_string(version)}});
    const base::result<http::response> answer = waiting.get();
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(nlohmann::json::parse(answer->body)["value"] == 2);
}

// Guards against `lose_answers` that discards a write, and against `down` that applies one.
BOOST_FIXTURE_TEST_CASE(faults_take_effect_as_documented, fixture) {
    BOOST_TEST(call("POST", "/v1/faults", R"({"mode":"lose_answers"})").first == 200);
    BOOST_TEST(create("trial", "1").first == 0);
    BOOST_TEST(call("GET", "/v1/objects/documents/trial").first == 200);
    BOOST_TEST(call("POST", "/v1/faults", R"({"mode":"down"})").first == 200);
    BOOST_TEST(create("other", "1").first == 0);
    BOOST_TEST(call("GET", "/v1/objects/documents/trial").first == 0);
    BOOST_TEST(call("POST", "/v1/faults", R"({"mode":"stale","delay_ms":9000})").first == 200);
    BOOST_TEST(call("GET", "/v1/objects/documents/trial").first == 404);
    BOOST_TEST(call("POST", "/v1/faults", R"({"mode":"none"})").first == 200);
    BOOST_TEST(call("GET", "/v1/objects/documents/trial").first == 200);
    BOOST_TEST(call("GET", "/v1/objects/documents/other").first == 404);
    BOOST_TEST(call("POST", "/v1/faults", R"({"mode":"odd"})").first == 400);
}

// Guards against a VM list that becomes visible before its lag or never.
BOOST_FIXTURE_TEST_CASE(the_vm_list_lags, fixture) {
    const std::string live =
        R"({"vms":[{"id":"e1","service":"encoder","address":"127.0.0.1:9","failure_domain":"a","state":"live"}]})";
    const std::uint64_t first = call("PUT", "/v1/vms", live).second["version"].get<std::uint64_t>();
    BOOST_TEST(call("GET", "/v1/vms?after=0").second["version"] == first);
    std::string leaving = live;
    leaving.replace(leaving.find("\"live\""), 6, "\"leaving\"");
    const auto set_at = std::chrono::steady_clock::now();
    call("PUT", "/v1/vms", leaving);
    const auto [status, list] = call("GET", "/v1/vms?wait_ms=1500&after=" + std::to_string(first));
    BOOST_TEST(status == 200);
    BOOST_TEST(list["vms"][0]["state"] == "leaving");
    BOOST_CHECK(std::chrono::steady_clock::now() - set_at >= 200ms);
}

BOOST_AUTO_TEST_SUITE_END()
