#include "findings.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/config.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
using nlohmann::json;

namespace {

const std::string token(64, 'a');

json complete_document() {
    return json::parse(R"({
      "revision": 12, "cost_weight": 0.3, "max_concurrent_requests": 512,
      "services": {
        "encoder": {"kind": "worker_pool", "expected_ms": 20, "concurrency": 16, "reports_load": false},
        "writer": {"kind": "model_engine", "expected_ms": 400, "concurrency": 8, "checks_fencing": true},
        "order-desk": {"kind": "plain_service", "expected_ms": 1.5, "concurrency": 8, "reports_load": true}},
      "pipelines": {
        "plan": {"deadline_ms": 8000, "stages": [{"name": "encode", "service": "encoder"},
                                                 {"name": "generate", "service": "writer"}]},
        "book": {"deadline_ms": 5000, "stages": [{"name": "book", "service": "order-desk", "idempotent": false},
                                                 {"name": "confirm", "service": "encoder"}]}},
      "accounts": {"planners": {"token_sha256": ")" +
                       token + R"(", "requests_per_second": 50, "burst": 100,
                                "concurrency": 64, "priority": -1}}})");
}

/// Pointers of the findings after replacing the value at `pointer`.
std::vector<std::string> findings_with(const std::string& pointer, const json& value) {
    json document = complete_document();
    document[json::json_pointer(pointer)] = value;
    const config::validation_result<config::environment_document> read =
        config::environment_document::parse(document.dump());
    return read ? std::vector<std::string>{"none"} : sorted_pointers(read.error());
}

using pointer_list = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(environment_document)

// Guards against values read into the wrong member and against a modified text.
BOOST_AUTO_TEST_CASE(a_complete_document_is_read) {
    const std::string text = "// catering\n" + complete_document().dump(2);
    const config::validation_result<config::environment_document> read =
        config::environment_document::parse(text);
    BOOST_REQUIRE_MESSAGE(read.has_value(), format_findings(read));
    BOOST_TEST(read->revision == 12U);
    BOOST_TEST(read->text == text);
    BOOST_TEST(read->sha256 == base::sha256_hex(text));
    BOOST_TEST(read->services.at(base::service_name("writer")).checks_fencing);
    BOOST_CHECK(read->services.at(base::service_name("order-desk")).expected_duration ==
                std::chrono::microseconds(1500));
    BOOST_TEST(read->pipelines.at(base::pipeline_name("plan")).idempotent());
    BOOST_TEST(!read->pipelines.at(base::pipeline_name("book")).idempotent());
    BOOST_REQUIRE(read->find_account_by_token(token) != nullptr);
    BOOST_TEST(read->find_account_by_token(token)->name.text() == "planners");
    BOOST_TEST(read->find_account_by_token(token)->priority == -1);
    BOOST_TEST(read->find_account_by_token(std::string(64, 'b')) == nullptr);
}

// Guards against rules that are not applied or are reported with the wrong pointer.
BOOST_AUTO_TEST_CASE(each_rule_is_reported_with_its_pointer) {
    const std::string stages = "/pipelines/plan/stages";
    const json encode = {{"name", "encode"}, {"service", "encoder"}};
    const std::vector<std::tuple<std::string, json, pointer_list>> cases{
        {"/revision", 0, {"/revision"}},
        {"/revision", -3, {"/revision"}},
        {"/revision", 12.0, {"/revision"}},
        {"/cost_weight", 1.01, {"/cost_weight"}},
        {"/cost_weight", nullptr, {"/cost_weight"}},
        {"/max_concurrent_requests", "512", {"/max_concurrent_requests"}},
        {"/extra", 1, {"/extra"}},
        {"/services", json::object(), {"/services"}},
        {"/services/writer/kind", "engine", {"/services/writer/kind"}},
        {"/services/encoder/checks_fencing", true, {"/services/encoder/checks_fencing"}},
        {"/services/a~1b", complete_document()["services"]["encoder"], {"/services/a~1b"}},
        {"/pipelines/plan/deadline_ms", 0, {"/pipelines/plan/deadline_ms"}},
        {stages, json::array(), {stages}},
        {stages, json(17, encode), {stages}},
        {stages + "/1/name", "encode", {stages + "/1/name"}},
        {stages + "/1/service", "wrtier", {stages + "/1/service"}},
        {stages + "/1/idempotent", false, {stages + "/1/idempotent"}},
        {stages + "/0/service", "writer", {stages + "/0/service"}},
        {stages + "/0", 5, {stages + "/0"}},
        {"/accounts/planners/token_sha256", std::string(64, 'A'), {"/accounts/planners/token_sha256"}},
        {"/accounts/planners/priority", 101, {"/accounts/planners/priority"}},
        {"/accounts/planners/burst", 0, {"/accounts/planners/burst"}},
        {"/accounts/second", complete_document()["accounts"]["planners"], {"/accounts/second/token_sha256"}},
    };
    for (const auto& [pointer, value, expected] : cases) {
        BOOST_TEST_CONTEXT(pointer << " = " << value.dump()) {
            BOOST_TEST(findings_with(pointer, value) == expected, boost::test_tools::per_element());
        }
    }
}

// Guards against rejecting valid documents at the limits of the rules.
BOOST_AUTO_TEST_CASE(limits_are_inclusive) {
    json many = json::array();
    for (int n = 0; n < 16; ++n) {
        many.push_back({{"name", "stage-" + std::to_string(n)}, {"service", "encoder"}});
    }
    BOOST_TEST(findings_with("/pipelines/plan/stages", many) == pointer_list{"none"},
               boost::test_tools::per_element());
    BOOST_TEST(findings_with("/cost_weight", 1) == pointer_list{"none"}, boost::test_tools::per_element());
    BOOST_TEST(findings_with("/revision", (1ULL << 53U) - 1) == pointer_list{"none"},
               boost::test_tools::per_element());
}

// Guards against a duplicate key silently replacing the first value, at any depth.
BOOST_AUTO_TEST_CASE(duplicate_keys_are_reported) {
    std::string text = complete_document().dump();
    text.insert(1, R"("revision": 13, )");
    const std::string place = R"({"name":"generate")";
    text.insert(text.find(place) + 1, R"("name": "other", )");
    const config::validation_result<config::environment_document> read =
        config::environment_document::parse(text);
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST(sorted_pointers(read.error()) == (pointer_list{"/pipelines/plan/stages/1/name", "/revision"}),
               boost::test_tools::per_element());
}

// Guards against publishing a document that passes validation but does not fit into a platform object.
BOOST_AUTO_TEST_CASE(a_text_that_does_not_fit_into_an_object_is_not_published) {
    const std::string large = complete_document().dump() + "//" + std::string(1'000'000, 'x');
    BOOST_TEST(config::environment_document::parse_for_publication(large).error().size() == 1U);
    const std::string not_utf8 = complete_document().dump() + "// \xff";
    BOOST_TEST(config::environment_document::parse_for_publication(not_utf8).error().size() == 1U);
    BOOST_TEST(config::environment_document::parse(not_utf8).error().size() == 1U);
}

// Daemons kept an old document for good because the size allowed for writes was applied to reads.
BOOST_AUTO_TEST_CASE(a_text_that_is_too_large_to_be_published_can_be_read) {
    const std::string large = complete_document().dump() + "//" + std::string(2'000'000, 'x');
    BOOST_TEST(config::environment_document::parse(large).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
