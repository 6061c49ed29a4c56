#include "fake_world.hpp"

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

/// A platform and two trial daemons that have one document in force.
struct trial_world : fake_world {
    trial_world() {
        files = {{"new", document_text(3)}, {"old", document_text(2)}, {"token", "secret\n"}};
        files["sample"] = R"({"plan": {"flight": 7}})";
        files["wrong sample"] = R"({"plans": 1})";
        servers["127.0.0.1:2379"] = [this](const request& message) { return objects(message); };
        for (const std::string& daemon : {std::string("127.0.1.1:9000"), std::string("127.0.1.2:9000")}) {
            servers[daemon] = [this](const request& message) { return answer_operator(message); };
        }
        servers["127.0.1.1:8080"] = [this](const request& message) { return answer_caller(message); };
    }

    answer answer_operator(const request& message) {
        if (message.target == "/v1/entries") {
            return http::json_response(200, R"({"max_age_ms": 10000, "entries": [
                {"address": "127.0.1.1:8080", "failure_domain": "a", "key_prefix": "rb1-x"}]})");
        }
        const std::string text = document_text(in_force) + (other_bytes ? " " : "");
        const json status{{"revision", in_force}, {"sha256", base::sha256_hex(text)}};
        return http::json_response(200, status.dump());
    }

    answer answer_caller(const request& message) {
        callers.push_back(message);
        if (message.target == failing) {
            return http::json_response(503,
                                       R"({"title": "no endpoint", "detail": "desk", "outcome": "not_run"})");
        }
        return http::json_response(200, R"({"output": "yes"})");
    }

    output prove(const std::vector<std::string>& more = {}) {
        std::vector<std::string> arguments{
            "prove",          "new",      "--platform",     "127.0.0.1:2379", "--daemon",
            "127.0.1.1:9000", "--daemon", "127.0.1.2:9000", "--token-file",   "token"};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return run(arguments);
    }

    output apply(const std::string& file, const std::string& environment = "trial") {
        return run({"apply", "--json", "--platform", "127.0.0.1:2379", "--environment", environment, file});
    }

    output promote(const std::string& file) { return run({"promote", file, "--platform", "127.0.0.1:2379"}); }

    fake_object_server objects;
    int in_force = 3;
    bool other_bytes = false;
    std::string failing;
    std::vector<request> callers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(publishing)

// Guards against a step of the workflow that accepts what an earlier step has not established.
BOOST_AUTO_TEST_CASE(a_document_goes_from_trial_to_production) {
    trial_world world;
    BOOST_TEST(world.apply("new", "production").code == 1);
    BOOST_TEST(world.requests.empty());
    BOOST_TEST(world.promote("new").code == 1);
    BOOST_TEST(world.apply("new").code == 0);
    const json again = json::parse(world.apply("new").out);
    BOOST_TEST(again["result"] == "already accepted");
    const fake_world::output replayed = world.apply("old");
    BOOST_TEST(replayed.code == 1);
    BOOST_TEST(json::parse(replayed.out)["revision_in_force"] == 3);
    const fake_world::output proved = world.prove({"--sample", "sample"});
    BOOST_TEST(proved.code == 0);
    BOOST_TEST(proved.out == "accepted: revision 3 is proved (daemons: 2, pipelines: 2)\n");
    BOOST_TEST(world.promote("old").code == 1);
    const fake_world::output promoted = world.promote("new");
    BOOST_TEST(promoted.code == 0);
    BOOST_TEST(promoted.out == "accepted: revision 3 is the first document of production\n");
    BOOST_TEST(world.objects.objects["/v1/objects/documents/production"]["value"]["text"] ==
               document_text(3));
}

// Guards against samples that do not look like a caller's requests.
BOOST_AUTO_TEST_CASE(samples_are_sent_as_callers_send_them) {
    trial_world world;
    BOOST_TEST(world.prove({"--sample", "sample"}).code == 0);
    BOOST_REQUIRE(world.callers.size() == 2U);
    BOOST_TEST(world.callers[0].target == "/v1/pipelines/book/runs");
    BOOST_TEST(world.callers[0].fields.find("Authorization").value() == "Bearer secret");
    BOOST_TEST(world.callers[0].fields.find("Idempotency-Key").value().starts_with("rb1-x.prove-"));
    BOOST_TEST(json::parse(world.callers[0].body)["input"] == json::object());
    BOOST_TEST(!world.callers[1].fields.find("Idempotency-Key").has_value());
    BOOST_TEST(json::parse(world.callers[1].body)["input"]["flight"] == 7);
    BOOST_TEST(world.prove({"--sample", "wrong sample"}).code == 2);
}

// Guards against a proof of a document that is not in force everywhere or does not work.
BOOST_AUTO_TEST_CASE(a_failed_trial_writes_no_proof) {
    trial_world world;
    world.in_force = 2;
    const fake_world::output not_in_force = world.prove({"--wait-ms", "2000"});
    BOOST_TEST(not_in_force.code == 1);
    BOOST_TEST(not_in_force.out.find("daemon 127.0.1.2:9000: reports revision 2") != std::string::npos);
    world.in_force = 3;
    world.other_bytes = true;
    BOOST_TEST(world.prove({"--wait-ms", "0"}).code == 1);
    world.other_bytes = false;
    world.failing = "/v1/pipelines/plan/runs";
    const fake_world::output failing = world.prove();
    BOOST_TEST(failing.code == 1);
    BOOST_TEST(failing.out.find("status 503, no endpoint, desk; outcome not_run") != std::string::npos);
    world.servers.erase("127.0.1.2:9000");
    BOOST_TEST(world.prove().code == 3);
    BOOST_TEST(world.objects.objects.empty());
}

// Guards against an answer that says nothing about a write being taken as one that does.
BOOST_AUTO_TEST_CASE(platform_answers_are_told_apart) {
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

// Guards against a lost answer or a platform that is down being told as something else.
BOOST_AUTO_TEST_CASE(platform_failures_have_their_own_exit_codes) {
    trial_world world;
    world.objects.loses_answers = true;
    BOOST_TEST(world.apply("new").code == 0);
    world.objects.objects.clear();
    int reads = 0;
    world.servers["127.0.0.1:2379"] = [&](const fake_world::request& message) -> fake_world::answer {
        if (message.method == "GET" && ++reads > 1) {
            return base::fail(base::error_code::timed_out, "no answer");
        }
        return world.objects(message);
    };
    BOOST_TEST(world.apply("new").code == 4);
    world.servers.erase("127.0.0.1:2379");
    BOOST_TEST(world.apply("new").code == 3);
    BOOST_TEST(world.promote("new").code == 3);
}

BOOST_AUTO_TEST_SUITE_END()
