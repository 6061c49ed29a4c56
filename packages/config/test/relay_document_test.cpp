#include "findings.hpp"

#include <rattanbay/config.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace config = rattanbay::config;
namespace base = rattanbay::base;
using nlohmann::json;

namespace {

json document() {
    return json::parse(R"({
      "revision": 7, "cost_weight": 0, "max_concurrent_requests": 100,
      "relay": {
        "keys_required": true,
        "limits": {"header_bytes": 16384, "body_bytes": 1000, "header_arrival_ms": 3000, "idle_ms": 15000},
        "services": [
          {"name": "board", "max_connections": 360,
           "pieces": {"slots": 1, "queue": 2, "batch": 8, "call_ms": 150, "piece_ms": 1.5,
                      "result_room_bytes": 51000000, "result_lifetime_ms": 4000, "result_link_mbps": 10000}},
          {"name": "model", "max_connections": 360, "engine": {"batch": 64, "kv_tokens": 332768}}],
        "routes": [
          {"name": "draft", "host": "one.example", "path_prefix": "/draft/", "repeat": "resumable",
           "streamed": true, "has_prompts": true, "timeout_ms": 5000, "objective_ms": 2000,
           "longest_pause_ms": 300, "patience_ms": 8000, "urgency": 1, "max_attempts": 2,
           "targets": [{"service": "model", "weight": 1}],
           "stages": [{"service": "board", "after": [], "result_bytes": 8000},
                      {"service": "board", "after": [0], "result_bytes": 6000}]}],
        "accounts": [{"name": "khi", "urgency": 0, "key_sha256": ["aa", "bb"]}]
      }})");
}

config::validation_result<config::environment_document> parse(const json& value) {
    return config::environment_document::parse(value.dump());
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_document)

// Guards against values read into the wrong member.
BOOST_AUTO_TEST_CASE(a_complete_document_is_read) {
    const config::validation_result<config::environment_document> read = parse(document());
    BOOST_REQUIRE_MESSAGE(read.has_value(), format_findings(read));
    BOOST_REQUIRE(read->relay.has_value());
    const config::relay_document& relay = *read->relay;
    BOOST_REQUIRE(relay.routes.size() == 1U);
    const config::relay_route& route = *relay.routes.front();
    BOOST_CHECK(route.retry == config::retry_mode::resumable);
    BOOST_CHECK(route.latency_objective == std::chrono::seconds(2));
    BOOST_CHECK(route.max_event_gap == std::chrono::milliseconds(300));
    BOOST_CHECK(route.client_patience == std::chrono::seconds(8));
    BOOST_TEST(route.max_attempts == 2U);
    BOOST_TEST(route.stages.at(1).depends_on.at(0) == 0U);
    const config::piece_limits& pieces = *relay.services.at(base::service_name("board")).pieces;
    BOOST_CHECK(pieces.time_per_piece == std::chrono::microseconds(1500));
    BOOST_TEST(pieces.result_capacity_bytes == 51'000'000U);
    BOOST_TEST(pieces.result_bandwidth_mbps == 10'000);
    BOOST_TEST(relay.services.at(base::service_name("model")).engine->kv_cache_tokens == 332768U);
    BOOST_TEST(relay.accounts_by_key_hash.at("bb")->name.text() == "khi");
    BOOST_TEST(relay.accounts_by_key_hash.at("aa")->urgency.value() == 0);
    BOOST_CHECK(relay.limits.idle_timeout == std::chrono::seconds(15));
}

// Guards against cyclic stage dependencies and against invalid routes and rules that are silently accepted.
BOOST_AUTO_TEST_CASE(invalid_relay_sections_are_reported) {
    json wrong = document();
    wrong["relay"]["routes"][0]["stages"][0]["after"] = {1};
    wrong["relay"]["routes"][0]["path_prefix"] = "/draft";
    wrong["relay"]["routes"][0]["repeat"] = "sometimes";
    wrong["relay"]["services"][0]["pieces"].erase("batch");
    wrong["relay"]["unknown"] = 1;
    const config::validation_result<config::environment_document> read = parse(wrong);
    BOOST_REQUIRE(!read.has_value());
    std::vector<std::string> pointers;
    for (const config::finding& row : read.error()) {
        pointers.push_back(row.pointer);
    }
    for (const char* expected :
         {"/relay/routes/0/path_prefix", "/relay/routes/0/repeat", "/relay/routes/0/stages/0/after/0",
          "/relay/services/0/pieces/batch", "/relay/unknown"}) {
        BOOST_TEST((std::ranges::find(pointers, expected) != pointers.end()), expected);
    }
}

BOOST_AUTO_TEST_SUITE_END()
