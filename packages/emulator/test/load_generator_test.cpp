#include "fixture.hpp"
#include "internal/completion_reader.hpp"

#include <rattanbay/emulator.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>

namespace asio = boost::asio;
namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Entry VMs that answer every pipeline with the expected output of its stages.
struct entry_fixture : loopback {
    entry_fixture() {
        options = emulator::load_options::parse(R"({"entries": ["127.0.0.1:1"], "seed": 3,
            "phases": [{"duration_ms": 400, "rate": 250}], "accounts": [{"token": "t", "callers": 2}],
            "pipelines": [{"name": "plan", "stages": ["encode", "generate"]},
                          {"name": "chat", "stream": true, "stages": ["generate"]},
                          {"name": "book", "idempotent": false, "stages": ["plain:order-desk"]}]})")
                      .value();
        for (int n = 0; n < 2; ++n) {
            addresses.push_back(free_address());
            const http::request_handler handle = [this, n](const http::request& message,
                                                           http::responder& out) {
                return answer(n, message, out);
            };
            const http::rejection_handler reject = [](const base::error&) {
                return http::json_response(400, "{}");
            };
            servers.push_back(http::server::listen(context, addresses.back(), handle, reject, {}).value());
        }
        options.seeds = addresses;
    }

    asio::awaitable<void> answer(int server, const http::request& message, http::responder& out) {
        if (message.target == "/v1/entries") {
            json rows = json::array();
            for (const base::address& row : addresses) {
                rows.push_back({{"address", row.text()}, {"failure_domain", "a"}, {"key_prefix", "p"}});
            }
            http::response list =
                http::json_response(200, json{{"entries", rows}, {"max_age_ms", 10000}}.dump());
            co_await out.send(std::move(list));
            co_return;
        }
        const json body = json::parse(message.body);
        const bool stream = body["stream"];
        const std::size_t pipeline = stream ? 1 : message.target == "/v1/pipelines/plan/runs" ? 0 : 2;
        if (pipeline == 2) {
            const std::lock_guard<std::mutex> lock(mutex);
            ++executions[message.fields.find("Idempotency-Key").value_or("")];
        }
        if (server == 0 && breaks) {
            out.abort();
            co_return;
        }
        const json input = crosses ? json("other") : body[stream ? "prompt" : "input"];
        const json output = emulator::expected_answer(options.pipelines[pipeline], input);
        if (stream) {
            co_await answer_stream(output, out);
            co_return;
        }
        http::response response = http::json_response(200, json{{"output", output}}.dump());
        co_await out.send(std::move(response));
    }

    asio::awaitable<void> answer_stream(json output, http::responder& out) {
        http::response_header head;
        head.status = 200;
        co_await out.begin_stream(std::move(head));
        const json chunk{{"choices", json::array({json{{"index", 0}, {"text", output}}})}};
        std::string token_event = "data: " + chunk.dump() + "\n\n";
        co_await out.write(std::move(token_event));
        if (omits_end) {
            co_await out.end_stream();
            co_return;
        }
        std::string end_event = "data: [DONE]\n\n";
        co_await out.write(std::move(end_event));
        co_await out.end_stream();
    }

    emulator::load_report run() {
        std::promise<emulator::load_report> done;
        const auto generator = emulator::load_generator::start(
            context, options, [&done](const emulator::load_report& report) { done.set_value(report); });
        return done.get_future().get();
    }

    emulator::load_options options;
    std::vector<base::address> addresses;
    std::vector<std::shared_ptr<http::server>> servers;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> executions;
    std::atomic<bool> breaks{false};
    std::atomic<bool> crosses{false};
    std::atomic<bool> omits_end{false};
};

} // namespace

BOOST_AUTO_TEST_SUITE(load_generator)

// Guards against a generator that misclassifies correct answers or loses requests.
BOOST_FIXTURE_TEST_CASE(correct_answers_attain, entry_fixture) {
    const emulator::load_report report = run();
    BOOST_TEST(report.total.requests > 50);
    BOOST_TEST(report.total.attained == report.total.requests);
    BOOST_TEST(report.pipelines[1].requests > 0);
    BOOST_TEST(report.total.wrong == 0);
    BOOST_TEST(report.entry_calls >= 1);
    BOOST_TEST(report.entry_calls <= 2);
    BOOST_TEST(emulator::check_executions(report.keyed_requests, executions).empty());
    BOOST_TEST(report.to_json()["total"]["attainment"] == 1.0);
    BOOST_TEST(report.to_table().find("chat") != std::string::npos);
}

// Guards against crossed or unfinished answers that are accepted.
BOOST_FIXTURE_TEST_CASE(wrong_answers_are_classified, entry_fixture) {
    crosses = true;
    const emulator::load_report crossed = run();
    BOOST_TEST(crossed.total.attained == 0);
    BOOST_TEST(crossed.wrong_answers.at("crossed") == crossed.total.requests);
    crosses = false;
    omits_end = true;
    const emulator::load_report unfinished = run();
    BOOST_TEST(unfinished.pipelines[1].attained == 0);
    BOOST_TEST(unfinished.pipelines[1].unanswered == unfinished.pipelines[1].requests);
    BOOST_TEST(unfinished.pipelines[0].attained == unfinished.pipelines[0].requests);
}

// Guards against a caller that loses requests when one VM fails, and against double executions that
// are not detected: these entry VMs execute a key each time it arrives.
BOOST_FIXTURE_TEST_CASE(requests_are_resent_and_double_runs_are_found, entry_fixture) {
    breaks = true;
    // A failed VM is avoided for longer than the run, so only the first requests are sent twice.
    options.pipelines[0].weight = 0;
    options.pipelines[1].weight = 0;
    const emulator::load_report report = run();
    BOOST_TEST(report.total.attained == report.total.requests);
    BOOST_TEST(report.total.resends > 0);
    BOOST_TEST(!emulator::check_executions(report.keyed_requests, executions).empty());
}

// Guards against arrivals that differ between runs with the same seed or deviate from their rate.
BOOST_AUTO_TEST_CASE(arrivals_repeat_with_the_seed) {
    emulator::load_options options;
    options.phases = {{10s, 100}, {5s, 0}, {10s, 300}};
    options.accounts = {{"a", 1, 2}, {"b", 3, 1}};
    options.pipelines.resize(2);
    emulator::arrival_process first(options);
    emulator::arrival_process second(options);
    std::map<std::size_t, int> accounts;
    int early = 0;
    int late = 0;
    for (std::optional<emulator::request_arrival> arrival = first.next(); arrival; arrival = first.next()) {
        const std::optional<emulator::request_arrival> same = second.next();
        BOOST_REQUIRE(same.has_value());
        BOOST_TEST(
            (same->at == arrival->at && same->caller == arrival->caller && same->input == arrival->input));
        ++accounts[arrival->account];
        ++(arrival->at < 10s ? early : late);
        BOOST_TEST((arrival->at < 10s || arrival->at >= 15s));
    }
    BOOST_TEST((early > 850 && early < 1150));
    BOOST_TEST((late > 2750 && late < 3250));
    BOOST_TEST(accounts[1] > 2 * accounts[0]);
}

// Guards against tokens lost where a chunk of the body ends within an event.
BOOST_AUTO_TEST_CASE(a_stream_is_parsed_from_chunks_of_any_size) {
    const std::string body = "data: {\"choices\":[{\"text\":\"one\"}]}\r\n\r\n: keep-alive\n\n"
                             "data: {\"choices\":[{\"text\":\" two\"}]}\n\ndata: [DONE]\n\n";
    for (std::size_t size = 1; size < body.size(); ++size) {
        emulator::internal::completion_reader reader;
        for (std::size_t at = 0; at < body.size(); at += size) {
            reader.feed(body.substr(at, size));
        }
        BOOST_TEST(reader.text() == "one two");
        BOOST_TEST((reader.done() && !reader.malformed()));
    }
    emulator::internal::completion_reader failed;
    failed.feed("event: error\ndata: {\"type\":\"stage_failed\",\"outcome\":\"ran\"}\n\n");
    BOOST_TEST(!failed.done());
    BOOST_TEST(failed.problem()->type == "stage_failed");
}

// Guards against undetected contradictions between outcomes and executions.
BOOST_AUTO_TEST_CASE(outcomes_are_compared_with_executions) {
    using base::outcome;
    const std::map<std::string, std::uint64_t> executions{{"a", 1}, {"b", 1}, {"c", 2}};
    const auto violations = [&executions](std::vector<std::string> keys, outcome reported) {
        return emulator::check_executions({{std::move(keys), reported, ""}}, executions).size();
    };
    BOOST_TEST(violations({"a"}, outcome::ran) == 0);
    BOOST_TEST(violations({"a"}, outcome::unknown) == 0);
    BOOST_TEST(violations({"x"}, outcome::not_run) == 0);
    BOOST_TEST(violations({"a"}, outcome::not_run) == 1);
    BOOST_TEST(violations({"x"}, outcome::ran) == 1);
    BOOST_TEST(violations({"c"}, outcome::unknown) == 1);
    BOOST_TEST(violations({"a", "b"}, outcome::ran) == 1);
}

// Guards against percentiles that are off by one rank.
BOOST_AUTO_TEST_CASE(percentiles_use_the_nearest_rank) {
    std::vector<base::duration> times;
    for (int n = 100; n >= 1; --n) {
        times.emplace_back(std::chrono::milliseconds(n));
    }
    const emulator::latency_summary summary = emulator::latency_summary::of(times);
    BOOST_TEST(summary.p50_ms == 50.0);
    BOOST_TEST(summary.p95_ms == 95.0);
    BOOST_TEST(summary.p99_ms == 99.0);
    BOOST_TEST(emulator::latency_summary::of({}).p99_ms == 0.0);
}

// Guards against invalid options that pass validation.
BOOST_AUTO_TEST_CASE(unusable_options_are_rejected) {
    const std::string valid = R"({"entries":["127.0.0.1:1"],"phases":[{"duration_ms":1,"rate":1}],
        "accounts":[{"token":"t"}],"pipelines":[{"name":"p"}]})";
    BOOST_TEST(emulator::load_options::parse(valid).has_value());
    for (const auto& [part, replacement] : std::vector<std::pair<std::string, std::string>>{
             {"127.0.0.1:1", "localhost"},
             {"\"rate\":1", "\"rate\":-1"},
             {"{\"token\":\"t\"}", ""},
             {"\"name\":\"p\"", "\"name\":\"p\",\"stages\":[\"odd\"]"},
             {"\"name\":\"p\"", "\"name\":7"},
             {"\"phases\"", "\"phase\""}}) {
        std::string text = valid;
        text.replace(text.find(part), part.size(), replacement);
        BOOST_TEST(!emulator::load_options::parse(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
