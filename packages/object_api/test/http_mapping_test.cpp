#include <rattanbay/object_api.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <chrono>

namespace base = rattanbay::base;
namespace http = rattanbay::http;
namespace object_api = rattanbay::object_api;
using namespace std::chrono_literals;

namespace {

const object_api::object_key key{"documents", "trial"};
const object_api::call read_call = object_api::read_object{key};
const object_api::call write_call = object_api::write_object{key, 4, R"({"b": 1, "a": 1.0})"};
const object_api::call create_call = object_api::write_object{key, std::nullopt, "{}"};
const object_api::call delete_call = object_api::delete_object{key, 4};
const object_api::call list_call = object_api::list_objects{"documents"};
const object_api::call watch_call = object_api::watch_object{key, {0, 4}, 2500ms};
const object_api::call vms_call = object_api::watch_vms{{0, 4}, 2500ms};
const std::vector<object_api::call> all_calls{read_call, write_call, create_call, delete_call,
                                              list_call, watch_call, vms_call};

object_api::answer answer_to(const object_api::call& call, int status, const std::string& body) {
    return object_api::to_answer(call, http::json_response(status, body));
}

/// Code of a failed answer; none for other answers.
std::optional<base::error_code> failure_code(const object_api::answer& answer) {
    const object_api::failed* const failure = std::get_if<object_api::failed>(&answer);
    return failure == nullptr ? std::nullopt : std::optional(failure->reason.code);
}

std::string request_line(const http::request& message) {
    return message.method + " " + message.target;
}

/// Text of a value after decoding from a response.
std::string value_after_read(const std::string& value) {
    const object_api::answer answer = answer_to(read_call, 200, R"({"version": 5, "value": )" + value + "}");
    const object_api::object* const found = std::get_if<object_api::object>(&answer);
    return found == nullptr ? "failed" : found->value;
}

std::string vm_row(const std::string& id, const std::string& address, const std::string& state) {
    return R"({"id": ")" + id + R"(", "service": "desk", "address": ")" + address +
           R"(", "failure_domain": "a", "state": ")" + state + R"("})";
}

void check_malformed(const object_api::call& call, int status, const std::string& body) {
    BOOST_TEST_CONTEXT(object_api::to_http(call).kind << " answered by " << status << " " << body) {
        BOOST_CHECK(failure_code(answer_to(call, status, body)) == base::error_code::protocol_violation);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_mapping)

// Guards against a wrong path and against reads that are not retried on a broken idle connection.
BOOST_AUTO_TEST_CASE(reads_and_lists_are_plain_requests) {
    const object_api::http_call read = object_api::to_http(read_call);
    BOOST_TEST(read.kind == "read");
    BOOST_TEST(request_line(read.message) == "GET /v1/objects/documents/trial");
    const object_api::http_call list = object_api::to_http(list_call);
    BOOST_TEST(list.kind == "list");
    BOOST_TEST(request_line(list.message) == "GET /v1/objects/documents");
    for (const object_api::http_call& sent : {read, list}) {
        BOOST_TEST(sent.retryable);
        BOOST_CHECK(sent.wait == base::duration::zero());
        BOOST_TEST(sent.message.fields.list().empty());
        BOOST_TEST(sent.message.body.empty());
    }
}

// Guards against a name that changes the meaning of the path that contains it.
BOOST_AUTO_TEST_CASE(names_are_encoded_in_paths) {
    const object_api::object_key odd{"documents", "a b/c?d#e%41"};
    const std::string encoded = "documents/a%20b%2Fc%3Fd%23e%2541";
    BOOST_TEST(request_line(object_api::to_http(object_api::read_object{odd}).message) ==
               "GET /v1/objects/" + encoded);
    BOOST_TEST(request_line(object_api::to_http(object_api::watch_object{odd, {0, 4}, 2500ms}).message) ==
               "GET /v1/watch/" + encoded + "?after=4&wait_ms=2500");
}

// Guards against an unconditional write or deletion and against one that is retried.
BOOST_AUTO_TEST_CASE(writes_and_deletions_are_conditional_and_not_retried) {
    const object_api::http_call write = object_api::to_http(write_call);
    BOOST_TEST(write.kind == "write");
    BOOST_TEST(request_line(write.message) == "PUT /v1/objects/documents/trial");
    BOOST_TEST(write.message.fields.find("If-Match").value_or("") == "4");
    BOOST_TEST(!write.message.fields.find("If-None-Match").has_value());
    BOOST_TEST(write.message.fields.find("Content-Type").value_or("") == "application/json");
    const object_api::http_call create = object_api::to_http(create_call);
    BOOST_TEST(create.kind == "write");
    BOOST_TEST(create.message.fields.find("If-None-Match").value_or("") == "*");
    BOOST_TEST(!create.message.fields.find("If-Match").has_value());
    const object_api::http_call deletion = object_api::to_http(delete_call);
    BOOST_TEST(deletion.kind == "delete");
    BOOST_TEST(request_line(deletion.message) == "DELETE /v1/objects/documents/trial");
    BOOST_TEST(deletion.message.fields.find("If-Match").value_or("") == "4");
    BOOST_TEST(deletion.message.body.empty());
    for (const object_api::http_call& sent : {write, create, deletion}) {
        BOOST_TEST(!sent.retryable);
        BOOST_CHECK(sent.wait == base::duration::zero());
    }
}

// Guards against a watch whose connection is closed before the platform's wait time ends.
BOOST_AUTO_TEST_CASE(watches_send_their_wait_time) {
    const object_api::http_call watch = object_api::to_http(watch_call);
    BOOST_TEST(watch.kind == "watch");
    BOOST_TEST(request_line(watch.message) == "GET /v1/watch/documents/trial?after=4&wait_ms=2500");
    const object_api::http_call vms = object_api::to_http(vms_call);
    BOOST_TEST(vms.kind == "watch_vms");
    BOOST_TEST(request_line(vms.message) == "GET /v1/vms?after=4&wait_ms=2500");
    for (const object_api::http_call& sent : {watch, vms}) {
        BOOST_TEST(sent.retryable);
        BOOST_CHECK(sent.wait == base::duration(2500ms));
    }
}

// Guards against decoding one kind of answer as another.
BOOST_AUTO_TEST_CASE(answers_match_their_calls) {
    const std::string found = R"({"version": 5, "value": {"a": 1}})";
    for (const object_api::call& call : {read_call, watch_call}) {
        const object_api::answer answer = answer_to(call, 200, found);
        BOOST_TEST(std::get<object_api::object>(answer).version == 5U);
        BOOST_TEST(std::get<object_api::object>(answer).value == R"({"a":1})");
    }
    BOOST_TEST(std::get<object_api::written>(answer_to(write_call, 200, R"({"version": 5})")).version == 5U);
    BOOST_TEST(std::get<object_api::written>(answer_to(create_call, 200, R"({"version": 5})")).version == 5U);
    BOOST_CHECK(std::holds_alternative<object_api::deleted>(answer_to(delete_call, 200, "")));
    BOOST_CHECK(std::holds_alternative<object_api::deleted>(answer_to(delete_call, 200, "{}")));
    for (const object_api::call& call : {write_call, create_call, delete_call}) {
        BOOST_TEST(std::get<object_api::conflict>(answer_to(call, 412, R"({"version": 6})")).version == 6U);
        BOOST_CHECK(std::holds_alternative<object_api::not_found>(answer_to(call, 404, "")));
    }
    BOOST_CHECK(std::holds_alternative<object_api::not_found>(answer_to(read_call, 404, "{}")));
    BOOST_CHECK(std::holds_alternative<object_api::unchanged>(answer_to(watch_call, 204, "")));
    BOOST_CHECK(std::holds_alternative<object_api::unchanged>(answer_to(vms_call, 204, "")));
    const object_api::answer listed = answer_to(
        list_call, 200, R"({"objects": [{"name": "b", "version": 2}, {"name": "a", "version": 1}]})");
    const std::vector<object_api::object_list::row>& rows = std::get<object_api::object_list>(listed).objects;
    BOOST_REQUIRE(rows.size() == 2U);
    BOOST_TEST(rows[0].name == "b");
    BOOST_TEST(rows[0].version == 2U);
    BOOST_TEST(rows[1].name == "a");
    BOOST_TEST(rows[1].version == 1U);
}

// Guards against wrongly decoded VMs and against an unusable entry that invalidates the others.
BOOST_AUTO_TEST_CASE(usable_vms_are_listed) {
    const std::string body = R"({"version": 7, "vms": [)" + vm_row("v1", "10.0.0.1:80", "live") + "," +
                             vm_row("v2", "no address", "live") + "," +
                             vm_row("v3", "10.0.0.3:80", "paused") + "," +
                             vm_row("v4", "10.0.0.4:80", "leaving") + "]}";
    const object_api::answer answer = answer_to(vms_call, 200, body);
    const object_api::vm_list expected{
        {0, 7},
        {{base::vm_id("v1"), base::service_name("desk"), *base::address::parse("10.0.0.1:80"),
          base::failure_domain("a"), object_api::vm_state::live},
         {base::vm_id("v4"), base::service_name("desk"), *base::address::parse("10.0.0.4:80"),
          base::failure_domain("a"), object_api::vm_state::leaving}}};
    BOOST_REQUIRE(std::holds_alternative<object_api::vm_list>(answer));
    BOOST_CHECK(std::get<object_api::vm_list>(answer) == expected);
}

// Guards against an unexpected status decoded as a valid answer, for example a write with an unknown effect
// reported as a write without effect.
BOOST_AUTO_TEST_CASE(unexpected_statuses_are_failures) {
    const std::string body = R"({"version": 5, "value": 1, "objects": [], "vms": []})";
    for (const object_api::call& call : all_calls) {
        for (const int status : {0, 100, 201, 202, 206, 301, 304, 400, 401, 409, 413, 429, 500, 503}) {
            BOOST_CHECK(failure_code(answer_to(call, status, body)) == base::error_code::unavailable);
        }
    }
    for (const object_api::call& call : {read_call, write_call, create_call, delete_call, list_call}) {
        BOOST_CHECK(failure_code(answer_to(call, 204, "")) == base::error_code::unavailable);
    }
    for (const object_api::call& call : {list_call, watch_call, vms_call}) {
        BOOST_CHECK(failure_code(answer_to(call, 404, body)) == base::error_code::unavailable);
    }
    for (const object_api::call& call : {read_call, list_call, watch_call, vms_call}) {
        BOOST_CHECK(failure_code(answer_to(call, 412, body)) == base::error_code::unavailable);
    }
}

// Guards against changing the error of a lost or refused exchange: callers rely on a refused connection to
// mean that a write had no effect.
BOOST_AUTO_TEST_CASE(errors_of_the_exchange_are_passed_on) {
    for (const object_api::call& call : all_calls) {
        for (const base::error_code code : {base::error_code::connection_refused, base::error_code::timed_out,
                                            base::error_code::connection_broken}) {
            const object_api::answer answer = object_api::to_answer(call, base::fail(code, "reason"));
            BOOST_REQUIRE(std::holds_alternative<object_api::failed>(answer));
            BOOST_CHECK((std::get<object_api::failed>(answer).reason == base::error{code, "reason"}));
        }
    }
}

// Guards against accepting a truncated body, at every length.
BOOST_AUTO_TEST_CASE(truncated_bodies_are_failures) {
    const std::string version = R"({"version": 15})";
    const std::string object = R"({"value": {"a": [1, "\u00e9"]}, "version": 15})";
    const std::string list = R"({"objects": [{"name": "a", "version": 15}]})";
    const std::string vms = R"({"version": 15, "vms": [)" + vm_row("v1", "10.0.0.1:80", "live") + "]}";
    const std::vector<std::pair<object_api::call, std::string>> answers{
        {read_call, object}, {write_call, version}, {create_call, version},
        {list_call, list},   {watch_call, object},  {vms_call, vms}};
    for (const auto& [call, body] : answers) {
        BOOST_CHECK(!failure_code(answer_to(call, 200, body)).has_value());
        for (std::size_t size = 0; size < body.size(); ++size) {
            check_malformed(call, 200, body.substr(0, size));
        }
    }
    for (std::size_t size = 0; size < version.size(); ++size) {
        check_malformed(write_call, 412, version.substr(0, size));
        check_malformed(delete_call, 412, version.substr(0, size));
    }
    for (std::size_t size = 1; size < version.size(); ++size) {
        check_malformed(delete_call, 200, version.substr(0, size));
    }
}

// Guards against accepting missing members or members of the wrong type, such as a negative or fractional
// version converted to a large one, or a null VM list treated as empty.
BOOST_AUTO_TEST_CASE(malformed_bodies_are_failures) {
    for (const std::string version :
         {"-1", "1.5", "\"5\"", "true", "null", "[]", "{}", "18446744073709551616"}) {
        const std::string body = R"({"version": )" + version + R"(, "value": 1, "vms": []})";
        for (const object_api::call& call : {read_call, write_call, create_call, watch_call, vms_call}) {
            check_malformed(call, 200, body);
        }
        check_malformed(write_call, 412, body);
        check_malformed(delete_call, 412, body);
        check_malformed(list_call, 200, R"({"objects": [{"name": "a", "version": )" + version + "}]}");
    }
    for (const std::string body : {"{}", "[]", "null", "5", "\"text\"", "{\"version\": 5} {}", "<html>",
                                   "{\"version\": 5, \"value\": \"\xff\"}"}) {
        for (const object_api::call& call : {read_call, list_call, watch_call, vms_call}) {
            check_malformed(call, 200, body);
        }
    }
    check_malformed(read_call, 200, R"({"version": 5})");
    for (const std::string rows :
         {"null", "{}", "5", "\"\"", "[1]", "[null]", "[{}]", "[{\"name\": 1, \"version\": 1}]"}) {
        check_malformed(list_call, 200, R"({"objects": )" + rows + "}");
        check_malformed(vms_call, 200, R"({"version": 5, "vms": )" + rows + "}");
    }
}

// Guards against changing the meaning of a value; the doc comment of to_answer states what is preserved.
BOOST_AUTO_TEST_CASE(values_are_preserved) {
    BOOST_TEST(object_api::to_http(write_call).message.body == R"({"b": 1, "a": 1.0})");
    BOOST_TEST(value_after_read(R"({"b": 1, "a": 1.0})") == R"({"a":1.0,"b":1})");
    for (const std::string same :
         {"null", "true", "0", "18446744073709551615", "-9223372036854775808", "0.1", "-0.0",
          "1.7976931348623157e+308", "5e-324", "[3,1,2]", R"("line\nbreak \"quoted\" \\")", R"("\u0000")",
          "\"\xc3\xa9 \xf0\x9f\x8c\xb4\"", R"({"":{"a":[{}]}})"}) {
        BOOST_TEST(value_after_read(same) == same);
    }
    BOOST_TEST(value_after_read("1e2") == "100.0");
    BOOST_TEST(value_after_read(R"("\u00e9\/")") == "\"\xc3\xa9/\"");
    BOOST_TEST(value_after_read(R"({"a": 1, "a": 2})") == R"({"a":2})");
    BOOST_TEST(value_after_read("1e999") == "failed");
    // A document is a string inside the value; its bytes must be preserved for its sha256.
    const std::string text =
        "{\"revision\": 1,\n\t\"b\": 1.0, \"a\": 1e2, \"t\": \"\xc3\xa9\\u00e9\\/\"}\r\n";
    const std::string sent = nlohmann::json{{"text", text}}.dump();
    BOOST_TEST(nlohmann::json::parse(value_after_read(sent))["text"].get<std::string>() == text);
}

BOOST_AUTO_TEST_SUITE_END()
