#include "command_fixture.hpp"

#include <rattanbay/base/hash.hpp>
#include <rattanbay/object_api/http_mapping.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace http = rattanbay::http;
namespace object_api = rattanbay::object_api;
using nlohmann::json;

namespace {

std::string document_text(int revision) {
    return R"({"revision": )" + std::to_string(revision) +
           R"(, "cost_weight": 0, "max_concurrent_requests": 8,
  "services": {"desk": {"kind": "plain_service", "expected_ms": 20, "concurrency": 4}},
  "pipelines": {
    "book": {"deadline_ms": 800, "stages": [{"name": "book", "service": "desk", "idempotent": false}]},
    "plan": {"deadline_ms": 800, "stages": [{"name": "look", "service": "desk"}]}},
  "accounts": {"planners": {"token_sha256": ")" +
           std::string(64, 'a') + R"(", "requests_per_second": 5, "burst": 10, "concurrency": 4}}})";
}

/// A platform and two trial daemons with the same document in force.
struct trial_fixture : command_fixture {
    trial_fixture() {
        files = {{"new", document_text(3)}, {"old", document_text(2)}, {"token", "secret\n"}};
        files["sample"] = R"({"plan": {"flight": 7}})";
        files["wrong sample"] = R"({"plans": 1})";
        servers["127.0.0.1:2379"] = [this](const request& message) { return objects(message); };
        for (const std::string& daemon : {std::string("127.0.1.1:9000"), std::string("127.0.1.2:9000")}) {
            servers[daemon] = [this](const request& message) { return handle_operator_request(message); };
        }
        servers["127.0.1.1:8080"] = [this](const request& message) { return handle_caller_request(message); };
    }

    answer handle_operator_request(const request& message) {
        if (message.target == "/v1/entries") {
            return http::json_response(200, R"({"max_age_ms": 10000, "entries": [
                {"address": "127.0.1.1:8080", "failure_domain": "a", "key_prefix": "rb1-x"}]})");
        }
        const std::string text = document_text(revision_in_force) + (has_different_bytes ? " " : "");
        const json status{{"revision", revision_in_force}, {"sha256", base::sha256_hex(text)}};
        return http::json_response(200, status.dump());
    }

    answer handle_caller_request(const request& message) {
        caller_requests.push_back(message);
        if (message.target == failing_target) {
            return http::json_response(503,
                                       R"({"title": "no endpoint", "detail": "desk", "outcome": "not_run"})");
        }
        return http::json_response(200, R"({"output": "yes"})");
    }

    output prove(const std::vector<std::string>& extra_arguments = {}) {
        std::vector<std::string> arguments{
            "prove",          "new",      "--platform",     "127.0.0.1:2379", "--daemon",
            "127.0.1.1:9000", "--daemon", "127.0.1.2:9000", "--token-file",   "token"};
        arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
        return run(arguments);
    }

    output apply(const std::string& file, const std::string& environment = "trial") {
        return run({"apply", "--json", "--platform", "127.0.0.1:2379", "--environment", environment, file});
    }

    output promote(const std::string& file) { return run({"promote", file, "--platform", "127.0.0.1:2379"}); }

    fake_object_server objects;
    int revision_in_force = 3;
    bool has_different_bytes = false;
    std::string failing_target;
    std::vector<request> caller_requests;
};

} // namespace

BOOST_AUTO_TEST_SUITE(publishing)

// Guards against a workflow step that accepts a document without the preceding step.
BOOST_AUTO_TEST_CASE(a_document_goes_from_trial_to_production) {
    trial_fixture fixture;
    BOOST_TEST(fixture.apply("new", "production").code == 1);
    BOOST_TEST(fixture.requests.empty());
    BOOST_TEST(fixture.promote("new").code == 1);
    BOOST_TEST(fixture.apply("new").code == 0);
    const json again = json::parse(fixture.apply("new").out);
    BOOST_TEST(again["result"] == "already accepted");
    const command_fixture::output replayed = fixture.apply("old");
    BOOST_TEST(replayed.code == 1);
    BOOST_TEST(json::parse(replayed.out)["revision_in_force"] == 3);
    const command_fixture::output proved = fixture.prove({"--sample", "sample"});
    BOOST_TEST(proved.code == 0);
    BOOST_TEST(proved.out == "accepted: revision 3 is proved (daemons: 2, pipelines: 2)\n");
    BOOST_TEST(fixture.promote("old").code == 1);
    const command_fixture::output promoted = fixture.promote("new");
    BOOST_TEST(promoted.code == 0);
    BOOST_TEST(promoted.out == "accepted: revision 3 is the first document of production\n");
    BOOST_TEST(fixture.objects.objects["/v1/objects/documents/production"]["value"]["text"] ==
               document_text(3));
}

// Guards against sample requests that differ from the requests of callers.
BOOST_AUTO_TEST_CASE(samples_are_sent_as_callers_send_them) {
    trial_fixture fixture;
    BOOST_TEST(fixture.prove({"--sample", "sample"}).code == 0);
    BOOST_REQUIRE(fixture.caller_requests.size() == 2U);
    BOOST_TEST(fixture.caller_requests[0].target == "/v1/pipelines/book/runs");
    BOOST_TEST(fixture.caller_requests[0].fields.find("Authorization").value() == "Bearer secret");
    BOOST_TEST(fixture.caller_requests[0].fields.find("Idempotency-Key").value().starts_with("rb1-x.prove-"));
    BOOST_TEST(json::parse(fixture.caller_requests[0].body)["input"] == json::object());
    BOOST_TEST(!fixture.caller_requests[1].fields.find("Idempotency-Key").has_value());
    BOOST_TEST(json::parse(fixture.caller_requests[1].body)["input"]["flight"] == 7);
    BOOST_TEST(fixture.prove({"--sample", "wrong sample"}).code == 2);
}

// Guards against a proof for a document that is not in force on every daemon or fails a sample request.
BOOST_AUTO_TEST_CASE(a_failed_trial_writes_no_proof) {
    trial_fixture fixture;
    fixture.revision_in_force = 2;
    const command_fixture::output not_in_force = fixture.prove({"--wait-ms", "2000"});
    BOOST_TEST(not_in_force.code == 1);
    BOOST_TEST(not_in_force.out.find("daemon 127.0.1.2:9000: reports revision 2") != std::string::npos);
    fixture.revision_in_force = 3;
    fixture.has_different_bytes = true;
    BOOST_TEST(fixture.prove({"--wait-ms", "0"}).code == 1);
    fixture.has_different_bytes = false;
    fixture.failing_target = "/v1/pipelines/plan/runs";
    const command_fixture::output failing = fixture.prove();
    BOOST_TEST(failing.code == 1);
    BOOST_TEST(failing.out.find("status 503, no endpoint, desk; outcome not_run") != std::string::npos);
    fixture.servers.erase("127.0.1.2:9000");
    BOOST_TEST(fixture.prove().code == 3);
    BOOST_TEST(fixture.objects.objects.empty());
}

// Guards against taking a response without a valid version as the result of a read or write.
BOOST_AUTO_TEST_CASE(platform_answers_are_distinguished) {
    const object_api::call write = object_api::write_object{{"documents", "trial"}, 4, "{}"};
    const object_api::call read = object_api::read_object{{"documents", "trial"}};
    const auto answer = [](const object_api::call& call, int status, const std::string& body) {
        return object_api::to_answer(call, http::json_response(status, body));
    };
    BOOST_TEST(std::get<object_api::written>(answer(write, 200, R"({"version": 5})")).version == 5U);
    BOOST_TEST(std::get<object_api::conflict>(answer(write, 412, R"({"version": 5})")).version == 5U);
    BOOST_CHECK(std::holds_alternative<object_api::not_found>(answer(write, 404, "")));
    const object_api::answer found = answer(read, 200, R"({"version": 5, "value": {"b": 1, "a": "\u00e9"}})");
    BOOST_TEST(json::parse(std::get<object_api::object>(found).value)["a"] == "\u00e9");
    for (const std::string& body : {std::string(), std::string("{}"), std::string(R"({"version": "5"})")}) {
        BOOST_CHECK(std::holds_alternative<object_api::failed>(answer(write, 200, body)));
        BOOST_CHECK(std::holds_alternative<object_api::failed>(answer(write, 412, body)));
        BOOST_CHECK(std::holds_alternative<object_api::failed>(answer(read, 200, body)));
    }
    BOOST_CHECK(std::holds_alternative<object_api::failed>(answer(write, 503, R"({"version": 5})")));
    BOOST_CHECK(std::holds_alternative<object_api::failed>(answer(read, 200, R"({"version": 5})")));
}

// Guards against a wrong exit code when a response is lost or the platform is down.
BOOST_AUTO_TEST_CASE(platform_failures_have_their_own_exit_codes) {
    trial_fixture fixture;
    fixture.objects.drops_responses = true;
    BOOST_TEST(fixture.apply("new").code == 0);
    fixture.objects.objects.clear();
    int reads = 0;
    fixture.servers["127.0.0.1:2379"] =
        [&](const command_fixture::request& message) -> command_fixture::answer {
        if (message.method == "GET" && ++reads > 1) {
            return base::fail(base::error_code::timed_out, "no answer");
        }
        return fixture.objects(message);
    };
    BOOST_TEST(fixture.apply("new").code == 4);
    fixture.servers.erase("127.0.0.1:2379");
    BOOST_TEST(fixture.apply("new").code == 3);
    BOOST_TEST(fixture.promote("new").code == 3);
}

BOOST_AUTO_TEST_SUITE_END()
